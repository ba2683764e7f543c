package io.balsamlane.router.forwarding;

/**
 * Times and sizes of forwarding.
 *
 * @param connectTimeoutMillis longest wait for a connection to a server
 * @param keepAliveSeconds time for which an idle connection to a server is kept, unless
 * the server closes it sooner
 * @param maxConnections most connections to one server
 * @param maxAnswerBytes largest answer of a plain service
 * @param maxEventBytes largest event of a stream
 * @param maxBufferedBytes most bytes of request bodies held at once
 * @param maxConcurrentRequests most requests in progress at once
 */
public record ForwardingLimits(int connectTimeoutMillis, int keepAliveSeconds, int maxConnections, int maxAnswerBytes,
		int maxEventBytes, long maxBufferedBytes, int maxConcurrentRequests) {

	/**
	 * Returns limits for a small host: several round trips between regions for a
	 * connection, and request bodies within a quarter of its memory.
	 * @return the limits
	 */
	public static ForwardingLimits defaults() {
		return new ForwardingLimits(400, 10, 64, 1 << 20, 1 << 18, 24L << 20, 1000);
	}

}
