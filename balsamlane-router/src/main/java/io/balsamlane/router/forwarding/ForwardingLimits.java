package io.balsamlane.router.forwarding;

/**
 * Time and size limits of forwarding.
 *
 * @param connectTimeoutMillis connect timeout for backend servers, in milliseconds
 * @param keepAliveSeconds time for which an idle connection to a server is kept, in
 * seconds, unless the server closes it sooner
 * @param maxConnections maximum number of connections to one server
 * @param maxResponseBytes maximum size of a response that is read completely, in bytes
 * @param maxEventBytes maximum size of an event of a stream, in bytes
 * @param maxBufferedBytes maximum total size of the incomplete responses in memory, in
 * bytes
 * @param maxConcurrentRequests maximum number of requests in progress
 */
public record ForwardingLimits(int connectTimeoutMillis, int keepAliveSeconds, int maxConnections, int maxResponseBytes,
		int maxEventBytes, long maxBufferedBytes, int maxConcurrentRequests) {

	/**
	 * Return limits for a small host: a connect timeout of several round trips between
	 * regions, and incomplete responses that fit in a quarter of its memory.
	 * @return the limits
	 */
	public static ForwardingLimits defaults() {
		return new ForwardingLimits(400, 10, 64, 1 << 20, 1 << 18, 24L << 20, 1000);
	}

}
