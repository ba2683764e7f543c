package io.balsamlane.core.overload;

/**
 * Limits within which a request may be placed on an engine. They tighten from urgent
 * requests to late ones, so that routers which know nothing of each other's queues leave
 * the remaining capacity to the same requests.
 *
 * @param maxFill maximum share of the engine's KV cache that may be in use
 * @param maxQueueMillis maximum expected time until the engine starts the prefill, in
 * milliseconds
 * @param minFreeShare share of the engines that must be within the limits, counted for a
 * request of average size
 */
public record PlacementLimits(double maxFill, long maxQueueMillis, double minFreeShare) {

	/**
	 * Requests below this share of an engine's KV cache leave the margin free. Without
	 * it, the largest tenth of the requests rarely finds room on engines that small ones
	 * fill.
	 */
	private static final double LARGE_SHARE = 0.22;

	/** Share of the KV cache that only large requests may use. */
	private static final double LARGE_MARGIN = 0.05;

	/** Largest rank that is distinguished. */
	private static final int MAX_RANK = 2;

	private static final double FILL = 0.95;

	private static final double FILL_STEP = 0.015;

	private static final double FILL_WHEN_LATE = 0.8;

	// Shares of the most urgent target. With a longer queue on the engine, an urgent
	// request that arrives next would be late.
	private static final double URGENT_QUEUE = 0.6;

	private static final double LESS_URGENT_QUEUE = 0.45;

	private static final double SPARE_QUEUE = 0.1;

	private static final double FREE_SHARE_STEP = 0.07;

	private static final double FREE_SHARE_FOR_EXCESS = 0.45;

	private static final double FREE_SHARE_WHEN_LATE = 0.25;

	/**
	 * Return the limits of a request.
	 * @param standing its standing
	 * @param rank its priority, counted from the highest priority of the service
	 * @param urgentTargetMillis shortest target of the service's routes, in milliseconds
	 * @return the limits
	 */
	public static PlacementLimits of(Standing standing, int rank, long urgentTargetMillis) {
		int level = Math.max(0, Math.min(rank, MAX_RANK));
		return switch (standing) {
			case ON_TIME -> new PlacementLimits(FILL - FILL_STEP * level,
					Math.round(urgentTargetMillis * ((level == 0) ? URGENT_QUEUE : LESS_URGENT_QUEUE)),
					FREE_SHARE_STEP * level);
			case EXCESS -> new PlacementLimits(FILL - FILL_STEP * MAX_RANK,
					Math.round(urgentTargetMillis * SPARE_QUEUE), FREE_SHARE_FOR_EXCESS);
			case LATE ->
				new PlacementLimits(FILL_WHEN_LATE, Math.round(urgentTargetMillis * SPARE_QUEUE), FREE_SHARE_WHEN_LATE);
		};
	}

	/**
	 * Return the number of tokens that must be free on an engine for a request.
	 * @param tokens number of KV cache tokens that the request holds
	 * @param capacityTokens capacity of the engine's KV cache
	 * @return the number of tokens, at least those of the request
	 */
	public static long requiredTokens(long tokens, long capacityTokens) {
		boolean large = tokens >= capacityTokens * LARGE_SHARE;
		return large ? tokens : tokens + Math.round(capacityTokens * LARGE_MARGIN);
	}

}
