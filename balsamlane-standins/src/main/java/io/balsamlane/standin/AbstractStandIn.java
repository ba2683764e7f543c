package io.balsamlane.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * Base class of the stand-ins: an HTTP server on the loopback interface with control
 * endpoints for tests under {@code /stand-in/}. Each response echoes the
 * {@code X-Request-Id} of its request.
 */
public abstract class AbstractStandIn implements StandIn {

	/** Path prefix of the requests with which tests inspect and control a stand-in. */
	protected static final String CONTROL_PREFIX = "/stand-in/";

	private static final String ID_HEADER = "X-Request-Id";

	private final Vertx vertx;

	private final int port;

	private HttpServer server;

	/**
	 * Create a stand-in.
	 * @param vertx the Vert.x instance to use
	 * @param port the port to listen on; 0 for an ephemeral port
	 */
	protected AbstractStandIn(Vertx vertx, int port) {
		this.vertx = vertx;
		this.port = port;
	}

	@Override
	public Future<Integer> start() {
		HttpServerOptions options = new HttpServerOptions().setHost("127.0.0.1").setPort(this.port);
		this.server = this.vertx.createHttpServer(options).requestHandler(this::route);
		return this.server.listen().map(HttpServer::actualPort);
	}

	@Override
	public Future<Void> stop() {
		return (this.server != null) ? this.server.close() : Future.succeededFuture();
	}

	private void route(HttpServerRequest request) {
		String id = request.getHeader(ID_HEADER);
		if (id != null) {
			request.response().putHeader(ID_HEADER, id);
		}
		if (request.path().startsWith(CONTROL_PREFIX)) {
			control(request);
		}
		else {
			handle(request);
		}
	}

	/**
	 * Handle a request as the external system would.
	 * @param request the request
	 */
	protected abstract void handle(HttpServerRequest request);

	/**
	 * Handle a request of a test that inspects or controls the stand-in.
	 * @param request the request, whose path starts with {@link #CONTROL_PREFIX}
	 */
	protected abstract void control(HttpServerRequest request);

	/**
	 * Return the Vert.x instance.
	 * @return the Vert.x instance
	 */
	protected Vertx vertx() {
		return this.vertx;
	}

	/**
	 * Send a JSON response.
	 * @param response the response to complete
	 * @param status the HTTP status code
	 * @param body the JSON text
	 */
	protected static void sendJson(HttpServerResponse response, int status, String body) {
		if (!response.ended() && !response.closed()) {
			response.setStatusCode(status).putHeader("content-type", "application/json").end(body);
		}
	}

	/**
	 * Send an error response.
	 * @param response the response to complete
	 * @param status the HTTP status code
	 * @param kind the error kind, which is stable for clients
	 */
	protected static void sendError(HttpServerResponse response, int status, String kind) {
		sendJson(response, status, new JsonObject().put("kind", kind).encode());
	}

}
