package io.balsamlane.router.forwarding;

import java.util.function.Consumer;

import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.router.http.BoundedHttpClient;
import io.balsamlane.router.http.ReceivedResponse;
import io.balsamlane.router.http.ResponseCorrelation;
import io.balsamlane.router.http.UnmatchedResponse;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/**
 * HTTP client for backend servers, with a pool of keep-alive connections for the requests
 * of callers. Calls of this router's own, to which servers echo no id, use a connection
 * each.
 */
final class ServerClient {

	/**
	 * Time limit for a call of this router's own: a connect timeout and several round
	 * trips between regions.
	 */
	private static final int CALL_TIMEOUT_MILLIS = 1000;

	/** Maximum size of the response to a call of this router's own. */
	private static final int MAX_CALL_RESPONSE_BYTES = 16 << 10;

	/** Maximum number of simultaneous calls of this router's own to one server. */
	private static final int MAX_CALLS = 8;

	private final HttpClient client;

	private final BoundedHttpClient calls;

	ServerClient(Vertx vertx, ForwardingLimits limits, String idHeader, Consumer<UnmatchedResponse> unmatched) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(limits.connectTimeoutMillis())
			.setKeepAliveTimeout(limits.keepAliveSeconds())
			.setTcpNoDelay(true)
			.setMaxHeaderSize(16384);
		this.client = ResponseCorrelation.of(idHeader, unmatched)
			.createClient(vertx, options,
					new PoolOptions().setHttp1MaxSize(limits.maxConnections()).setMaxWaitQueueSize(0));
		this.calls = BoundedHttpClient.of(
				ResponseCorrelation.withoutIds(unmatched)
					.createClient(vertx, options, new PoolOptions().setHttp1MaxSize(MAX_CALLS)),
				MAX_CALL_RESPONSE_BYTES);
	}

	/**
	 * Create a request on a pooled connection. If the future fails, no part of the
	 * request has been sent.
	 * @param server the server
	 * @param method the method
	 * @param uri path and query
	 * @return the request, not yet sent
	 */
	Future<HttpClientRequest> open(ListedServer server, HttpMethod method, String uri) {
		return this.client.request(options(server, method, uri));
	}

	/**
	 * Make a call of this router's own, which no caller waits for.
	 * @param server the server
	 * @param method the method
	 * @param uri path and query
	 * @return the response; fails if it is not complete within the limits of such calls
	 */
	Future<ReceivedResponse> call(ListedServer server, HttpMethod method, String uri) {
		return this.calls.call(options(server, method, uri), Buffer.buffer(), CALL_TIMEOUT_MILLIS);
	}

	private static RequestOptions options(ListedServer server, HttpMethod method, String uri) {
		return new RequestOptions().setMethod(method)
			.setURI(uri)
			.setHost(server.server().endpoint().address())
			.setPort(server.server().endpoint().port());
	}

}
