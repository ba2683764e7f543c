package io.balsamlane.router.http;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Creates HTTP clients for servers that echo the {@code X-Request-Id} of a request in
 * their response. Requests that lack the header receive an id.
 */
public final class RequestIdClients {

	/** Header that carries the id of a request. */
	public static final String ID_HEADER = "X-Request-Id";

	private static final Logger logger = System.getLogger(RequestIdClients.class.getName());

	private static final ResponseCorrelation CORRELATION = ResponseCorrelation.of(ID_HEADER, RequestIdClients::log);

	private RequestIdClients() {
	}

	/**
	 * Create a client that attributes each response to its request.
	 * @param vertx the event loops to use
	 * @param options options of the client
	 * @param pool options of its pool of connections
	 * @return the client
	 */
	public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
		return CORRELATION.createClient(vertx, options, pool);
	}

	/**
	 * Create a client with default options that attributes each response to its request.
	 * @param vertx the event loops to use
	 * @return the client
	 */
	public static HttpClient create(Vertx vertx) {
		return create(vertx, new HttpClientOptions(), new PoolOptions());
	}

	// The warning omits the ids, so that the repeats of one server are logged only once
	// in a while.
	private static void log(UnmatchedResponse response) {
		logger.log(Level.WARNING,
				"Discarded a response of {0} that is invalid or not the one to its request: {1}, status {2}",
				response.server(), response.reason(), response.status());
		logger.log(Level.DEBUG, "Discarded response: {0}", response);
	}

}
