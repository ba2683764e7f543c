package io.balsamlane.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * Common base of the stand-ins: one HTTP server on loopback with a fault port for tests
 * under {@code /stand-in/}.
 */
public abstract class AbstractStandIn implements StandIn {

	/** Path prefix of requests that tests send to steer the stand-in. */
	protected static final String CONTROL_PREFIX = "/stand-in/";

	private final Vertx vertx;

	private final int port;

	private HttpServer server;

	/**
	 * Creates a stand-in.
	 * @param vertx the event loops to use
	 * @param port the port to listen on; 0 lets the kernel choose
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
		if (request.path().startsWith(CONTROL_PREFIX)) {
			control(request);
		}
		else {
			handle(request);
		}
	}

	/**
	 * Answers a request as the outside system would.
	 * @param request the request
	 */
	protected abstract void handle(HttpServerRequest request);

	/**
	 * Answers a request of a test that reads or steers the stand-in.
	 * @param request the request, its path starts with {@link #CONTROL_PREFIX}
	 */
	protected abstract void control(HttpServerRequest request);

	/**
	 * Returns the event loops.
	 * @return the event loops
	 */
	protected Vertx vertx() {
		return this.vertx;
	}

	/**
	 * Sends a JSON answer.
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
	 * Sends an error answer.
	 * @param response the response to complete
	 * @param status the HTTP status code
	 * @param kind the stable kind of the error
	 */
	protected static void sendError(HttpServerResponse response, int status, String kind) {
		sendJson(response, status, new JsonObject().put("kind", kind).encode());
	}

}
