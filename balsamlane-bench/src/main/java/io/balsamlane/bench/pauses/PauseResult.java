package io.balsamlane.bench.pauses;

/**
 * Counts of one run of the model.
 *
 * @param requests requests of callers, without their own retries
 * @param inTarget requests answered within the target, from the first attempt of the
 * caller
 * @param late requests answered later
 * @param refused requests that ended refused
 * @param arrivals requests and repeats that reached servers
 * @param arrivalsInPause those that reached a server which had asked the sending router
 * for a pause more than half a second before
 */
public record PauseResult(int requests, int inTarget, int late, int refused, int arrivals, int arrivalsInPause) {

	/**
	 * Return the arrivals beyond the first of each request.
	 * @return their number
	 */
	public int repeats() {
		return Math.max(0, this.arrivals - this.requests);
	}

}
