package io.balsamlane.standin.hosts;

import io.balsamlane.standin.AbstractStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;

/**
 * Stand-in for the host list that publishes each change after a configurable lag.
 */
public class HostListStandIn extends AbstractStandIn {

	private final long lagMillis;

	private JsonArray visible;

	/**
	 * Create a host list.
	 * @param vertx the Vert.x instance to use
	 * @param port the port; 0 for an ephemeral port
	 * @param lagMillis time after which a change becomes visible, in milliseconds
	 * @param hosts the initial hosts, which are visible immediately
	 */
	public HostListStandIn(Vertx vertx, int port, long lagMillis, JsonArray hosts) {
		super(vertx, port);
		this.lagMillis = lagMillis;
		this.visible = hosts;
	}

	@Override
	protected void handle(HttpServerRequest request) {
		if (!request.path().equals("/v1/hosts")) {
			sendError(request.response(), 404, "unknown-path");
			return;
		}
		sendJson(request.response(), 200, this.visible.encode());
	}

	@Override
	protected void control(HttpServerRequest request) {
		if (request.method() != HttpMethod.PUT) {
			sendError(request.response(), 405, "use-put");
			return;
		}
		request.body().onSuccess((body) -> {
			JsonArray next = body.toJsonArray();
			vertx().setTimer(Math.max(1, this.lagMillis), (id) -> this.visible = next);
			sendJson(request.response(), 200, "{}");
		});
	}

}
