package io.balsamlane.bench.pauses;

/**
 * Load and service of one run of the model.
 *
 * @param routers number of routers
 * @param servers number of servers of the service
 * @param slots maximum number of concurrent requests of a server; as many may wait
 * @param workMillis mean duration of a request, in milliseconds
 * @param targetMillis target for the response, in milliseconds
 * @param deadlineMillis deadline of callers, in milliseconds
 * @param load requests per second as a share of what all servers can serve
 * @param pauseMillis duration of each pause, in milliseconds; servers take turns
 * @param seconds duration of the load, in seconds
 * @param heed whether routers hold back requests to a server that asked for a pause
 */
public record PausePlan(int routers, int servers, int slots, double workMillis, double targetMillis,
		double deadlineMillis, double load, double pauseMillis, double seconds, boolean heed) {

	double requestsPerMilli() {
		return this.load * this.servers * this.slots / this.workMillis;
	}

	/**
	 * Return the number of the current pause.
	 * @param atMillis the time, in milliseconds
	 * @return the number of pauses that have ended
	 */
	long pause(double atMillis) {
		return (long) (atMillis / this.pauseMillis);
	}

	/**
	 * Return whether a server rejects requests. One server after the other pauses; a
	 * pause begins when the one before has ended.
	 * @param server number of the server
	 * @param atMillis the time, in milliseconds
	 * @return true within a pause of the server
	 */
	boolean paused(int server, double atMillis) {
		return pause(atMillis) % this.servers == server;
	}

	/**
	 * Return the time until the current pause ends.
	 * @param atMillis the time, in milliseconds
	 * @return the time in milliseconds
	 */
	double pauseLeftMillis(double atMillis) {
		return this.pauseMillis - atMillis % this.pauseMillis;
	}

}
