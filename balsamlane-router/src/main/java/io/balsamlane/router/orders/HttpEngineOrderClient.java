package io.balsamlane.router.orders;

import java.util.List;
import java.util.Locale;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.EngineOrder;
import io.balsamlane.core.orders.EngineState;
import io.balsamlane.router.http.BoundedHttpClient;
import io.balsamlane.router.http.ReceivedResponse;
import io.balsamlane.router.http.RequestIdClients;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Client for engines that report their state and accept orders as JSON.
 */
public final class HttpEngineOrderClient implements EngineOrderClient {

	private static final int MAX_CONNECTIONS_PER_ENGINE = 2;

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/** Maximum size of a response. */
	private static final int MAX_RESPONSE_BYTES = 64 << 10;

	private final BoundedHttpClient client;

	private final long callTimeoutMillis;

	private HttpEngineOrderClient(Vertx vertx, long callTimeoutMillis) {
		this.callTimeoutMillis = callTimeoutMillis;
		this.client = BoundedHttpClient
			.of(RequestIdClients.create(vertx, new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
					new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENGINE)), MAX_RESPONSE_BYTES);
	}

	/**
	 * Create a client.
	 * @param vertx the event loops to use
	 * @param callTimeoutMillis maximum time to wait for an answer, in milliseconds
	 * @return the client
	 */
	public static HttpEngineOrderClient create(Vertx vertx, long callTimeoutMillis) {
		return new HttpEngineOrderClient(vertx, callTimeoutMillis);
	}

	@Override
	public Future<StateAnswer> readState(Endpoint engine) {
		return this.client.call(options(HttpMethod.GET, engine, "/v1/state"), Buffer.buffer(), this.callTimeoutMillis)
			.map(HttpEngineOrderClient::toState)
			.otherwise((cause) -> new StateAnswer.Unreadable(String.valueOf(cause.getMessage())));
	}

	private static StateAnswer toState(ReceivedResponse response) {
		if (response.status() != 200) {
			return new StateAnswer.Unreadable("the engine answered with status " + response.status());
		}
		JsonObject json = response.body().toJsonObject();
		List<String> adapters = json.getJsonArray("adapters", new JsonArray()).stream().map(String::valueOf).toList();
		return new StateAnswer.Read(new EngineState(json.getString("role", ""), json.getString("model", ""), adapters,
				json.getLong("fencing", 0L), json.getInteger("pendingOrders", 0)));
	}

	@Override
	public Future<OrderAnswer> issue(ServerName name, Endpoint engine, EngineOrder order, long fencing,
			long notAfterNanos) {
		JsonObject json = new JsonObject().put("fencing", fencing)
			.put("kind", order.kind().name().toLowerCase(Locale.ROOT))
			.put("value", order.value());
		return this.client.open(options(HttpMethod.POST, engine, "/v1/orders"), this.callTimeoutMillis)
			.transform((connected) -> connected.succeeded() ? send(connected.result(), json, notAfterNanos)
					: notSent(String.valueOf(connected.cause().getMessage())))
			.otherwise((cause) -> new OrderAnswer.Undecided(String.valueOf(cause.getMessage())));
	}

	private Future<OrderAnswer> send(HttpClientRequest request, JsonObject order, long notAfterNanos) {
		Buffer content = order.toBuffer();
		// The process may have been paused while it waited for the connection, so the
		// deadline is checked immediately before the write, with nothing slow in between.
		if (System.nanoTime() - notAfterNanos > 0) {
			request.reset();
			return notSent("the lease no longer covers the order");
		}
		return this.client.send(request, content, this.callTimeoutMillis)
			.map((response) -> toResult(response.status(), response.body()));
	}

	private static Future<OrderAnswer> notSent(String reason) {
		return Future.succeededFuture(new OrderAnswer.NotSent(reason));
	}

	private static OrderAnswer toResult(int status, Buffer body) {
		if (status == 200 || status == 202) {
			return new OrderAnswer.Accepted();
		}
		if (status >= 500) {
			return new OrderAnswer.Undecided("the engine answered with status " + status);
		}
		String kind = body.toJsonObject().getString("kind", "status-" + status);
		return (status == 409 && kind.equals("stale-fencing")) ? new OrderAnswer.Stale()
				: new OrderAnswer.Refused(kind);
	}

	private static RequestOptions options(HttpMethod method, Endpoint engine, String uri) {
		return new RequestOptions().setMethod(method).setHost(engine.address()).setPort(engine.port()).setURI(uri);
	}

}
