package io.balsamlane.core.configuration;

/**
 * Delays, intervals and timeouts of a {@link ConfigurationTracker}, in milliseconds.
 *
 * @param startJitterMillis maximum random delay of the first store call; with 400 ms, 400
 * nodes that start together cause 1,000 reads/s, half of the store's budget
 * @param firstReadDelayMillis minimum delay before a node that does not watch the store
 * first reads it, in case none of its peers has a configuration
 * @param retryMillis initial backoff after a failed store call; doubles up to eight times
 * this value
 * @param periodicReadMillis mean interval between store reads of a node that does not
 * watch the store
 * @param pullTimeoutMillis timeout of a pull; three attempts fit into the propagation
 * target of 4 s
 * @param pullRetryMillis initial backoff after a failed pull; doubles up to eight times
 * this value
 * @param contactTimeoutMillis time without contact to a peer after which the node
 * contacts one
 * @param isolationTimeoutMillis time without contact to the store or a peer after which
 * the node is isolated
 * @param storeAlarmDelayMillis time without contact to the store after which it counts as
 * unreachable; longer than a watch (10 s), because a pending watch produces no response
 */
public record TrackerTimes(long startJitterMillis, long firstReadDelayMillis, long retryMillis, long periodicReadMillis,
		long pullTimeoutMillis, long pullRetryMillis, long contactTimeoutMillis, long isolationTimeoutMillis,
		long storeAlarmDelayMillis) {

	/**
	 * Return the values for production.
	 * @return the production values
	 */
	public static TrackerTimes defaults() {
		return new TrackerTimes(400, 1500, 250, 600_000, 800, 50, 1000, 4000, 15_000);
	}

}
