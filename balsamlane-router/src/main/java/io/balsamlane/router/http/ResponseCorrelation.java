package io.balsamlane.router.http;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.channel.ChannelPipeline;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Creates HTTP clients that attribute each response to its request. A faulty server may
 * respond to a request a second time, when its connection carries the next one.
 * <p>
 * A request carries an id in a header, and the server echoes it. A response with another
 * id is discarded, and the request goes on waiting for its own. A response without an id
 * is accepted as the first one on its connection, which is not used again; later ones are
 * discarded. A connection on which bytes arrive between two requests is closed, as is one
 * on which the head of a response contains that of another.
 */
public final class ResponseCorrelation {

	private static final String HTTP_CODEC = "codec";

	/** Grace period for a request on a connection that is not to be used again. */
	private static final int SHUTDOWN_GRACE_SECONDS = 10;

	private final Optional<String> idHeader;

	private final Consumer<UnmatchedResponse> listener;

	private final String idPrefix = Long.toHexString(ThreadLocalRandom.current().nextLong()) + "-";

	private final AtomicLong ids = new AtomicLong();

	private ResponseCorrelation(Optional<String> idHeader, Consumer<UnmatchedResponse> listener) {
		this.idHeader = idHeader;
		this.listener = listener;
	}

	/**
	 * Create a correlation by a header. Requests that lack it receive an id.
	 * @param idHeader name of the header that carries the id of a request
	 * @param listener notified of each response that cannot be attributed
	 * @return the correlation
	 */
	public static ResponseCorrelation of(String idHeader, Consumer<UnmatchedResponse> listener) {
		return new ResponseCorrelation(Optional.of(idHeader), listener);
	}

	/**
	 * Create a correlation for servers that echo no id. Each connection carries one
	 * request.
	 * @param listener notified of each response that cannot be attributed
	 * @return the correlation
	 */
	public static ResponseCorrelation withoutIds(Consumer<UnmatchedResponse> listener) {
		return new ResponseCorrelation(Optional.empty(), listener);
	}

	/**
	 * Create a client whose connections attribute their responses.
	 * @param vertx the event loops to use
	 * @param options options of the client
	 * @param pool options of its pool of connections
	 * @return the client
	 */
	public HttpClient createClient(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
		return vertx.httpClientBuilder()
			.with(options)
			.with(pool)
			.withConnectHandler((connection) -> install(connection, options))
			.build();
	}

	/**
	 * Return whether the connection of a request that has not been sent may carry it.
	 * @param request the request, opened by a client of a correlation
	 * @param id id of the request
	 * @return false if the connection is about to be closed or has carried an earlier
	 * request with this id
	 */
	public static boolean mayCarry(HttpClientRequest request, String id) {
		ResponseCorrelationHandler handler = ((ConnectionBase) request.connection()).channel()
			.pipeline()
			.get(ResponseCorrelationHandler.class);
		// The handlers of a closed connection have been removed.
		return handler != null && handler.mayCarry(id);
	}

	// Vert.x matches responses to requests by their order only and has no API to observe
	// them before that.
	private void install(HttpConnection connection, HttpClientOptions options) {
		ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
		ResponseCorrelationHandler handler = new ResponseCorrelationHandler(this.idHeader,
				() -> this.idPrefix + this.ids.incrementAndGet(), this.listener,
				(context) -> connection.shutdown(SHUTDOWN_GRACE_SECONDS, TimeUnit.SECONDS));
		pipeline.replace(HTTP_CODEC, HTTP_CODEC, handler.codec(options));
		pipeline.addBefore(HTTP_CODEC, "idle-guard", handler.idleGuard());
		pipeline.addAfter(HTTP_CODEC, "correlation", handler);
	}

}
