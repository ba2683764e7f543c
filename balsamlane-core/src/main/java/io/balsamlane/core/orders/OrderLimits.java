package io.balsamlane.core.orders;

/**
 * Time limits and budgets of orders. All durations are in nanoseconds.
 *
 * @param leaseNanos life of the lease of a pool, at least four times {@code orderNanos},
 * so that a holder whose renewals succeed always may issue
 * @param orderNanos longest time between the issuer's last look at its clock and the
 * effect of an order; the issuer stops this long before its lease could lapse, and a
 * successor waits this long before its first order
 * @param retryNanos pause after a failed call, and between two reads of a changing engine
 * @param verifyNanos time between two reads of an engine that has the target state
 * @param maxChangingPercent share of a pool's engines that may be out of service at once
 * because of orders; one engine is always allowed
 * @param loadsPerMinute loads from the weight store that all pools together may cause
 * @param maxEngines most engines of one pool that are kept; further ones get no orders
 */
public record OrderLimits(long leaseNanos, long orderNanos, long retryNanos, long verifyNanos, int maxChangingPercent,
		int loadsPerMinute, int maxEngines) {

	private static final long NANOS_PER_MINUTE = 60_000_000_000L;

	/**
	 * Share of the lease that is not relied on, because the clocks of this process and of
	 * the store may run at slightly different rates.
	 */
	private static final int CLOCK_RATE_PART = 100;

	public OrderLimits {
		if (orderNanos <= 0 || retryNanos <= 0 || verifyNanos <= 0 || loadsPerMinute <= 0 || maxEngines <= 0) {
			throw new IllegalArgumentException("The limits of orders must be above 0");
		}
		if (leaseNanos < 4 * orderNanos) {
			throw new IllegalArgumentException("The lease must live at least four times as long as an order may take");
		}
	}

	long reliedOnNanos() {
		return this.leaseNanos - this.leaseNanos / CLOCK_RATE_PART;
	}

	/**
	 * Divides the budget of loads equally, so that the holders of different pools keep it
	 * together without talking to each other.
	 * @param pools number of pools that receive orders
	 * @return shortest time between two loads of one pool
	 */
	long loadIntervalNanos(int pools) {
		return NANOS_PER_MINUTE * Math.max(1, pools) / this.loadsPerMinute;
	}

	int maxChanging(int engines) {
		return Math.max(1, engines * this.maxChangingPercent / 100);
	}

}
