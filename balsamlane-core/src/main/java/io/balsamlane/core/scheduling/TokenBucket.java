package io.balsamlane.core.scheduling;

/**
 * Token bucket that holds the amount of one burst and may go into debt when a charge
 * turns out larger than expected.
 */
final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private double perSecond;

	private double level;

	private long filledNanos;

	/**
	 * Changes the rate; the bucket holds one second of it.
	 * @param rate units per second, 0 for no limit
	 * @param nowNanos present time
	 */
	void setRate(double rate, long nowNanos) {
		if (this.perSecond <= 0) {
			this.level = rate;
			this.filledNanos = nowNanos;
		}
		this.perSecond = rate;
		this.level = Math.min(this.level, rate);
	}

	/**
	 * Returns the time until an amount may be taken. An amount above a whole bucket may
	 * be taken from a full one, otherwise it could never run.
	 * @param amount units wanted
	 * @param nowNanos present time
	 * @return the wait in nanoseconds, 0 if the amount may be taken now
	 */
	long waitNanos(double amount, long nowNanos) {
		if (this.perSecond <= 0) {
			return 0;
		}
		double elapsed = Math.max(0, nowNanos - this.filledNanos) / NANOS_PER_SECOND;
		this.level = Math.min(this.perSecond, this.level + elapsed * this.perSecond);
		this.filledNanos = Math.max(this.filledNanos, nowNanos);
		double missing = Math.min(amount, this.perSecond) - this.level;
		return (missing <= 1e-9) ? 0 : (long) (missing / this.perSecond * NANOS_PER_SECOND) + 1;
	}

	/**
	 * Takes an amount, or returns a negative one.
	 * @param amount units
	 */
	void take(double amount) {
		if (this.perSecond > 0) {
			this.level -= amount;
		}
	}

}
