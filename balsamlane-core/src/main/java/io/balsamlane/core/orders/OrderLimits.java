package io.balsamlane.core.orders;

/**
 * Time limits and budgets for orders. All durations are in nanoseconds.
 *
 * @param leaseNanos time to live of a pool's lease, at least four times
 * {@code orderNanos}, so that a holder whose renewals succeed may always issue orders
 * @param orderNanos longest time between the issuer's last clock reading and the effect
 * of an order; the issuer stops this long before its lease could expire, and a successor
 * waits this long before its first order
 * @param retryNanos delay after a failed call and between two reads of a changing engine
 * @param verifyNanos interval between two reads of an engine that has the target state
 * @param maxChangingPercent percentage of a pool's engines that may be out of service at
 * the same time because of orders; one engine is always allowed
 * @param loadsPerMinute maximum loads from the weight store per minute, over all pools
 * @param maxEngines maximum number of engines of one pool; further engines get no orders
 */
public record OrderLimits(long leaseNanos, long orderNanos, long retryNanos, long verifyNanos, int maxChangingPercent,
		int loadsPerMinute, int maxEngines) {

	private static final long NANOS_PER_MINUTE = 60_000_000_000L;

	/**
	 * Divisor for the part of the lease, 1%, that is kept as a safety margin because the
	 * clocks of this process and of the store may run at slightly different rates.
	 */
	private static final int CLOCK_DRIFT_MARGIN_DIVISOR = 100;

	public OrderLimits {
		if (orderNanos <= 0 || retryNanos <= 0 || verifyNanos <= 0 || loadsPerMinute <= 0 || maxEngines <= 0) {
			throw new IllegalArgumentException("Time limits and budgets for orders must be greater than 0");
		}
		if (leaseNanos < 4 * orderNanos) {
			throw new IllegalArgumentException("Lease duration must be at least four times the order time limit");
		}
	}

	long usableLeaseNanos() {
		return this.leaseNanos - this.leaseNanos / CLOCK_DRIFT_MARGIN_DIVISOR;
	}

	/**
	 * Return the minimum interval between two loads of one pool. The load budget is
	 * divided equally among the pools, so that their lease holders comply with it without
	 * coordination.
	 * @param pools number of pools that receive orders
	 * @return the interval in nanoseconds
	 */
	long loadIntervalNanos(int pools) {
		return NANOS_PER_MINUTE * Math.max(1, pools) / this.loadsPerMinute;
	}

	int maxChanging(int engines) {
		return Math.max(1, engines * this.maxChangingPercent / 100);
	}

}
