package io.balsamlane.core.configuration;

/**
 * Times of a {@link ConfigurationTracker}, in milliseconds.
 *
 * @param startJitterMillis the first store call of a node is delayed by up to this time;
 * 400 nodes that start together make 1,000 reads/s in 400 ms, half of the store's budget
 * @param firstReadMillis a node without a configuration that does not watch reads the
 * store after this time, because it may have no peer that has one
 * @param retryMillis first pause after a failed store call; doubles up to eight times
 * this value
 * @param seldomReadMillis mean time between two store reads of a node that does not watch
 * @param pullTimeoutMillis a pull without an answer is given up after this time; three
 * attempts fit into the target of 4 s
 * @param pullRetryMillis first pause after a failed pull; doubles up to eight times
 * @param contactMillis a node that has heard of no peer for this time contacts one
 * @param isolationMillis a node without contact for this time is isolated
 * @param storeAlarmMillis the store counts as unreachable after this time; above the
 * duration of a watch (10 s), because a pending watch gives no sign of life
 */
public record TrackerTimes(long startJitterMillis, long firstReadMillis, long retryMillis, long seldomReadMillis,
		long pullTimeoutMillis, long pullRetryMillis, long contactMillis, long isolationMillis, long storeAlarmMillis) {

	/**
	 * Returns the times for production.
	 * @return the times
	 */
	public static TrackerTimes standard() {
		return new TrackerTimes(400, 1500, 250, 600_000, 800, 50, 1000, 4000, 15_000);
	}

}
