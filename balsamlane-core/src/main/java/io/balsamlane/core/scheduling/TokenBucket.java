package io.balsamlane.core.scheduling;

/**
 * Token bucket with a capacity of one burst. Its level may become negative when the
 * actual charge exceeds the estimate.
 */
final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private double perSecond;

	private double level;

	private long refilledNanos;

	/**
	 * Set the rate. The capacity of the bucket is the amount of one second.
	 * @param rate units per second, 0 for no limit
	 * @param nowNanos current time
	 */
	void setRate(double rate, long nowNanos) {
		if (this.perSecond <= 0) {
			this.level = rate;
			this.refilledNanos = nowNanos;
		}
		this.perSecond = rate;
		this.level = Math.min(this.level, rate);
	}

	/**
	 * Return the time until an amount may be taken. An amount above the capacity may be
	 * taken from a full bucket, otherwise it could never be taken.
	 * @param amount number of units
	 * @param nowNanos current time
	 * @return the wait in nanoseconds, 0 if the amount may be taken now
	 */
	long waitNanos(double amount, long nowNanos) {
		if (this.perSecond <= 0) {
			return 0;
		}
		double elapsed = Math.max(0, nowNanos - this.refilledNanos) / NANOS_PER_SECOND;
		this.level = Math.min(this.perSecond, this.level + elapsed * this.perSecond);
		this.refilledNanos = Math.max(this.refilledNanos, nowNanos);
		double missing = Math.min(amount, this.perSecond) - this.level;
		return (missing <= 1e-9) ? 0 : (long) (missing / this.perSecond * NANOS_PER_SECOND) + 1;
	}

	/**
	 * Take an amount from the bucket. A negative amount is put back.
	 * @param amount number of units
	 */
	void take(double amount) {
		if (this.perSecond > 0) {
			this.level -= amount;
		}
	}

}
