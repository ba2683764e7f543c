package io.balsamlane.core.configuration;

/**
 * A call that is waiting for its answer.
 */
final class TrackerCall {

	private boolean pending;

	private long beganNanos;

	void begin(long nowNanos) {
		this.pending = true;
		this.beganNanos = nowNanos;
	}

	void end() {
		this.pending = false;
	}

	boolean pending() {
		return this.pending;
	}

	/**
	 * Gives the call up after a time.
	 * @param nowNanos the present time
	 * @param limitNanos longest time to wait
	 * @return true if it was given up now
	 */
	boolean expire(long nowNanos, long limitNanos) {
		boolean expired = this.pending && nowNanos - this.beganNanos > limitNanos;
		if (expired) {
			this.pending = false;
		}
		return expired;
	}

}
