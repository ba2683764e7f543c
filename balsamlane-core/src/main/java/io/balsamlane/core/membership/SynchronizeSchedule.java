package io.balsamlane.core.membership;

/**
 * Schedules exchanges of the full member table with peers whose table digest differs.
 * Differences are normal while the table is changing, so exchanges wait until it is
 * stable. The interval doubles with each exchange up to a maximum and is reset when the
 * table changes.
 */
final class SynchronizeSchedule {

	private static final long MAX_INTERVAL_NANOS = 60_000_000_000L;

	private final long minIntervalNanos;

	private long intervalNanos;

	private long lastNanos;

	private boolean exchanged;

	SynchronizeSchedule(long minIntervalNanos, long nowNanos) {
		this.minIntervalNanos = minIntervalNanos;
		this.intervalNanos = minIntervalNanos;
		this.lastNanos = nowNanos - minIntervalNanos;
	}

	boolean takeIfDue(long nanosSinceChange, long nowNanos) {
		boolean due = (nanosSinceChange >= this.minIntervalNanos || !this.exchanged)
				&& nowNanos - this.lastNanos >= this.intervalNanos;
		if (due) {
			this.lastNanos = nowNanos;
			this.intervalNanos = Math.min(MAX_INTERVAL_NANOS, 2 * this.intervalNanos);
		}
		return due;
	}

	void recordExchange() {
		this.exchanged = true;
	}

	void tableChanged() {
		this.intervalNanos = this.minIntervalNanos;
	}

}
