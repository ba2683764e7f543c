package io.balsamlane.router.http;

import java.util.function.Consumer;

import io.netty.channel.ChannelPipeline;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Creates HTTP clients that attribute each response on a kept connection to its request
 * by an id which the request carries in a header and the server echoes.
 */
public final class ResponseCorrelation {

	private static final String HTTP_CODEC = "codec";

	private final String idHeader;

	private final Consumer<UnmatchedResponse> listener;

	private ResponseCorrelation(String idHeader, Consumer<UnmatchedResponse> listener) {
		this.idHeader = idHeader;
		this.listener = listener;
	}

	/**
	 * Create a correlation.
	 * @param idHeader name of the header that carries the id of a request
	 * @param listener notified of each response that cannot be attributed
	 * @return the correlation
	 */
	public static ResponseCorrelation of(String idHeader, Consumer<UnmatchedResponse> listener) {
		return new ResponseCorrelation(idHeader, listener);
	}

	/**
	 * Create a client whose connections attribute their responses.
	 * @param vertx the event loops to use
	 * @param options options of the client
	 * @param pool options of its pool of connections
	 * @return the client
	 */
	public HttpClient createClient(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
		return vertx.httpClientBuilder().with(options).with(pool).withConnectHandler(this::install).build();
	}

	// Vert.x matches responses to requests by their order only and has no API to observe
	// them before that.
	private void install(HttpConnection connection) {
		ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
		pipeline.addAfter(HTTP_CODEC, "correlation", new ResponseCorrelationHandler(this.idHeader, this.listener));
	}

}
