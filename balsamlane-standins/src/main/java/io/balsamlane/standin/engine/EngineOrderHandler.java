package io.balsamlane.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Handles the orders of an engine: {@code GET /v1/state}, {@code POST /v1/orders}, and
 * the order log under {@code /stand-in/orders}.
 * <p>
 * Faults: {@code hold} queues incoming orders without processing them, {@code release}
 * processes the queued ones.
 * <p>
 * Orders take effect in the order in which they are accepted; loading a model or adapters
 * takes time. Loading a model unloads the adapters. All methods run on one event loop.
 */
public class EngineOrderHandler {

	private static final int MAX_LOG_ENTRIES = 100_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final boolean checksFencing;

	private final long loadMillis;

	private final JsonArray log = new JsonArray();

	private String role = "";

	private String model = "";

	private List<String> adapters = List.of();

	private long fencing;

	private int pending;

	private long busyUntilNanos = System.nanoTime();

	private final List<HeldOrder> heldOrders = new ArrayList<>();

	private boolean holding;

	EngineOrderHandler(Vertx vertx, boolean checksFencing, long loadMillis) {
		this.vertx = vertx;
		this.checksFencing = checksFencing;
		this.loadMillis = loadMillis;
	}

	/**
	 * Create a handler for an engine that has no role and no model yet.
	 * @param vertx the Vert.x instance to use
	 * @param checksFencing whether orders with a stale fencing number are rejected
	 * @param loadMillis time to load a model or adapters, in milliseconds
	 * @return the order handler
	 */
	public static EngineOrderHandler create(Vertx vertx, boolean checksFencing, long loadMillis) {
		return new EngineOrderHandler(vertx, checksFencing, loadMillis);
	}

	boolean handle(HttpServerRequest request) {
		if (request.path().equals("/v1/state") && request.method() == HttpMethod.GET) {
			send(request.response(), 200, state());
			return true;
		}
		if (request.path().equals("/v1/orders") && request.method() == HttpMethod.POST) {
			request.body().onSuccess((body) -> {
				JsonObject order = body.toJsonObject();
				if (this.holding) {
					this.heldOrders.add(new HeldOrder(request.response(), order));
				}
				else {
					order(request.response(), order);
				}
			});
			return true;
		}
		return false;
	}

	private JsonObject state() {
		return new JsonObject().put("role", this.role)
			.put("model", this.model)
			.put("adapters", new JsonArray(this.adapters))
			.put("fencing", this.fencing)
			.put("pendingOrders", this.pending);
	}

	private void order(HttpServerResponse response, JsonObject order) {
		long number = order.getLong("fencing");
		String kind = order.getString("kind");
		String value = order.getString("value");
		boolean stale = this.checksFencing && number < this.fencing;
		if (this.log.size() < MAX_LOG_ENTRIES) {
			this.log.add(order.copy().put("accepted", !stale).put("atMillis", System.currentTimeMillis()));
		}
		if (stale) {
			send(response, 409, new JsonObject().put("kind", "stale-fencing").put("fencing", this.fencing));
			return;
		}
		if (!List.of("role", "model", "adapters", "load_adapter").contains(kind)) {
			send(response, 400, new JsonObject().put("kind", "unknown-order"));
			return;
		}
		this.fencing = this.checksFencing ? number : 0;
		this.pending++;
		long nowNanos = System.nanoTime();
		this.busyUntilNanos = Math.max(nowNanos, this.busyUntilNanos)
				+ (kind.equals("role") ? 0 : this.loadMillis * NANOS_PER_MILLI);
		this.vertx.setTimer(1 + (this.busyUntilNanos - nowNanos) / NANOS_PER_MILLI, (id) -> apply(kind, value));
		send(response, 200, new JsonObject());
	}

	private void apply(String kind, String value) {
		this.pending--;
		if (kind.equals("role")) {
			this.role = value;
		}
		else if (kind.equals("model")) {
			this.model = value;
			this.adapters = List.of();
		}
		else if (kind.equals("load_adapter")) {
			this.adapters = Stream.concat(this.adapters.stream(), Stream.of(value)).distinct().sorted().toList();
		}
		else {
			this.adapters = Stream.of(value.split(",")).filter((name) -> !name.isEmpty()).sorted().toList();
		}
	}

	private static void send(HttpServerResponse response, int status, JsonObject body) {
		if (!response.ended() && !response.closed()) {
			response.setStatusCode(status).putHeader("content-type", "application/json").end(body.encode());
		}
	}

	boolean control(HttpServerRequest request) {
		if (!request.path().equals("/stand-in/orders")) {
			return false;
		}
		if (request.method() == HttpMethod.GET) {
			send(request.response(), 200, state().put("orders", this.log)
				.put("heldOrders", new JsonArray(this.heldOrders.stream().map(HeldOrder::order).toList())));
			return true;
		}
		request.body().onSuccess((body) -> {
			JsonObject faults = body.toJsonObject();
			this.holding = faults.getBoolean("hold", this.holding);
			if (faults.getBoolean("release", false)) {
				this.heldOrders.forEach((held) -> order(held.response(), held.order()));
				this.heldOrders.clear();
			}
			send(request.response(), 200, new JsonObject());
		});
		return true;
	}

	private record HeldOrder(HttpServerResponse response, JsonObject order) {
	}

}
