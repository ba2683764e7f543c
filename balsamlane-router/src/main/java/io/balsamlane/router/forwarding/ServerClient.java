package io.balsamlane.router.forwarding;

import io.balsamlane.core.forwarding.ListedServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/**
 * HTTP client for backend servers, with a pool of keep-alive connections.
 */
final class ServerClient {

	private final HttpClient client;

	ServerClient(Vertx vertx, ForwardingLimits limits) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(limits.connectTimeoutMillis())
			.setKeepAliveTimeout(limits.keepAliveSeconds())
			.setTcpNoDelay(true)
			.setMaxHeaderSize(16384);
		this.client = vertx.createHttpClient(options,
				new PoolOptions().setHttp1MaxSize(limits.maxConnections()).setMaxWaitQueueSize(0));
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
		return this.client.request(new RequestOptions().setMethod(method)
			.setURI(uri)
			.setHost(server.server().endpoint().address())
			.setPort(server.server().endpoint().port()));
	}

}
