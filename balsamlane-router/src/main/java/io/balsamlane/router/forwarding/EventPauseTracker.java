package io.balsamlane.router.forwarding;

/**
 * Measures the pauses between the events of a stream as they are forwarded to its caller.
 * Times are in nanoseconds of a monotonic clock.
 */
final class EventPauseTracker {

	private int events;

	private long lastNanos;

	private long longestNanos;

	void recordEvent(long nowNanos) {
		if (this.events++ > 0) {
			this.longestNanos = Math.max(this.longestNanos, nowNanos - this.lastNanos);
		}
		this.lastNanos = nowNanos;
	}

	int events() {
		return this.events;
	}

	long longestPauseNanos() {
		return this.longestNanos;
	}

}
