package io.balsamlane.core.membership;

/**
 * Decides when a table that differs from a peer's is exchanged with it. While a table
 * changes, differences are normal; exchanges that do not end a difference become rare.
 */
final class SynchronizeSchedule {

	private static final long MAX_INTERVAL_NANOS = 60_000_000_000L;

	private final long minIntervalNanos;

	private long intervalNanos;

	private long lastNanos;

	private boolean done;

	SynchronizeSchedule(long minIntervalNanos, long nowNanos) {
		this.minIntervalNanos = minIntervalNanos;
		this.intervalNanos = minIntervalNanos;
		this.lastNanos = nowNanos - minIntervalNanos;
	}

	boolean take(long quietNanos, long nowNanos) {
		boolean due = (quietNanos >= this.minIntervalNanos || !this.done)
				&& nowNanos - this.lastNanos >= this.intervalNanos;
		if (due) {
			this.lastNanos = nowNanos;
			this.intervalNanos = Math.min(MAX_INTERVAL_NANOS, 2 * this.intervalNanos);
		}
		return due;
	}

	void finished() {
		this.done = true;
	}

	void tableChanged() {
		this.intervalNanos = this.minIntervalNanos;
	}

}
