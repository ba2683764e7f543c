package io.balsamlane.standin.service;

import java.util.ArrayDeque;
import java.util.Deque;

import io.balsamlane.standin.AbstractStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Plain service that answers each call with a description of the request and records the
 * executed calls in a ledger.
 * <p>
 * Faults: slow calls, leaving, frozen (calls are executed but not answered), and
 * responses lost after the call was executed.
 */
public class PlainServiceStandIn extends AbstractStandIn {

	private static final int MAX_LEDGER_ENTRIES = 1_000_000;

	private final String name;

	private final Deque<JsonObject> ledger = new ArrayDeque<>();

	private long serviceTimeMillis;

	private boolean leaving;

	private boolean frozen;

	private int responsesToDrop;

	/**
	 * Create a plain service.
	 * @param vertx the Vert.x instance to use
	 * @param port the port; 0 for an ephemeral port
	 * @param name name of this replica
	 * @param serviceTimeMillis duration of each call, in milliseconds
	 */
	public PlainServiceStandIn(Vertx vertx, int port, String name, long serviceTimeMillis) {
		super(vertx, port);
		this.name = name;
		this.serviceTimeMillis = serviceTimeMillis;
	}

	@Override
	protected void handle(HttpServerRequest request) {
		if (this.leaving) {
			request.response().putHeader("X-Leaving", "true");
			sendError(request.response(), 503, "leaving");
			return;
		}
		request.body()
			.onSuccess((body) -> vertx().setTimer(Math.max(1, this.serviceTimeMillis),
					(id) -> run(request, body.length())));
	}

	private void run(HttpServerRequest request, int bodyBytes) {
		JsonObject entry = new JsonObject().put("replica", this.name)
			.put("method", request.method().name())
			.put("path", request.path())
			.put("requestId", request.getHeader("X-Request-Id"))
			.put("idempotencyKey", request.getHeader("Idempotency-Key"))
			.put("run", this.ledger.size() + 1)
			.put("bodyBytes", bodyBytes);
		this.ledger.add(entry);
		if (this.ledger.size() > MAX_LEDGER_ENTRIES) {
			this.ledger.remove();
		}
		if (this.responsesToDrop > 0) {
			this.responsesToDrop--;
			request.connection().close();
			return;
		}
		if (!this.frozen) {
			sendJson(request.response(), 200, entry.encode());
		}
	}

	@Override
	protected void control(HttpServerRequest request) {
		if (request.method() == HttpMethod.GET) {
			sendJson(request.response(), 200, new JsonArray(this.ledger.stream().toList()).encode());
			return;
		}
		request.body().onSuccess((body) -> {
			JsonObject faults = body.toJsonObject();
			this.leaving = faults.getBoolean("leaving", this.leaving);
			this.frozen = faults.getBoolean("frozen", this.frozen);
			this.serviceTimeMillis = faults.getLong("serviceTimeMillis", this.serviceTimeMillis);
			this.responsesToDrop = faults.getInteger("loseAnswers", this.responsesToDrop);
			sendJson(request.response(), 200, "{}");
		});
	}

}
