package io.balsamlane.core.quota;

import io.balsamlane.core.forwarding.CustomerQuota;

/**
 * Token bucket of one customer. Its rate is a share of the quota's rate that may change.
 * Refused requests are given successive times at which the bucket has room for them, as
 * in the virtual scheduling algorithm of ITU-T I.371. Not thread-safe.
 */
final class QuotaBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Later times are of no use: callers would have given up. */
	private static final long MAX_WAIT_NANOS = 15_000_000_000L;

	private double perSecond;

	private double capacity;

	private double level;

	private long refilledNanos;

	private long promisedNanos;

	private QuotaBucket(double level, long nowNanos) {
		this.level = level;
		this.capacity = level;
		this.refilledNanos = nowNanos;
		this.promisedNanos = nowNanos;
	}

	/**
	 * Create a full bucket that is not refilled before its rate is set.
	 * @param level tokens in the bucket
	 * @param nowNanos the monotonic time
	 * @return the bucket
	 */
	static QuotaBucket create(double level, long nowNanos) {
		return new QuotaBucket(level, nowNanos);
	}

	/**
	 * Set the rate and the capacity. Tokens beyond the capacity are lost at once.
	 * @param quota the quota
	 * @param share share of the quota's rate
	 * @param tokens the capacity in tokens
	 * @param nowNanos the monotonic time
	 */
	void configure(CustomerQuota quota, double share, double tokens, long nowNanos) {
		refill(nowNanos);
		// A rate of 0 would give refused requests no time at which there is room.
		this.perSecond = Math.max(1, quota.tokensPerSecond() * share);
		this.capacity = tokens;
		this.level = Math.min(this.level, tokens);
	}

	/**
	 * Take tokens if there are enough. More tokens than the capacity may be taken from a
	 * full bucket, otherwise they could never be taken.
	 * @param tokens number of tokens
	 * @param nowNanos the monotonic time
	 * @return 0 if the tokens were taken, otherwise the time until there is room for
	 * them, in nanoseconds
	 */
	long take(double tokens, long nowNanos) {
		refill(nowNanos);
		double missing = Math.min(tokens, this.capacity) - this.level;
		if (missing <= 1e-9) {
			this.level -= tokens;
			return 0;
		}
		long roomNanos = nowNanos + nanos(missing);
		// Those who were refused before come back first and take what they need.
		long afterOthers = (this.promisedNanos > nowNanos) ? this.promisedNanos + nanos(tokens) : roomNanos;
		this.promisedNanos = Math.min(Math.max(roomNanos, afterOthers), nowNanos + MAX_WAIT_NANOS);
		return Math.max(1, this.promisedNanos - nowNanos);
	}

	/**
	 * Put tokens back.
	 * @param tokens number of tokens
	 * @param nowNanos the monotonic time
	 */
	void putBack(double tokens, long nowNanos) {
		refill(nowNanos);
		this.level = Math.min(this.capacity, this.level + tokens);
	}

	double level(long nowNanos) {
		refill(nowNanos);
		return this.level;
	}

	private long nanos(double tokens) {
		return (long) Math.min(MAX_WAIT_NANOS, tokens / this.perSecond * NANOS_PER_SECOND) + 1;
	}

	// After a pause of the process, the capacity limits what is credited.
	private void refill(long nowNanos) {
		double elapsed = Math.max(0, nowNanos - this.refilledNanos) / NANOS_PER_SECOND;
		this.level = Math.min(this.capacity, this.level + elapsed * this.perSecond);
		this.refilledNanos = Math.max(this.refilledNanos, nowNanos);
	}

}
