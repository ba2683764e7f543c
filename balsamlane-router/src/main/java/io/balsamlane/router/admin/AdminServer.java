package io.balsamlane.router.admin;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

/**
 * HTTP server for operator requests, load balancer health checks and metrics.
 * <p>
 * {@code /live}, {@code /ready} and {@code /metrics} require no key, because most load
 * balancers and metrics collectors cannot send one; they expose no caller data.
 */
public final class AdminServer {

	private static final Logger logger = System.getLogger(AdminServer.class.getName());

	private static final String API_PREFIX = "/admin/v1/";

	private static final String LOOPBACK = "127.0.0.1";

	// A change cannot exceed the configuration, which the platform store limits to 1 MB;
	// JSON takes more space than the stored encoding.
	private static final int MAX_BODY_BYTES = 2 << 20;

	private static final int MAX_DISCARDED_BYTES = 16 << 20;

	private static final int MAX_CONCURRENT_REQUESTS = 64;

	private static final int IDLE_TIMEOUT_SECONDS = 60;

	private static final int MAX_HEADER_BYTES = 16_384;

	private final Vertx vertx;

	private final Settings settings;

	private final OperatorAccess access;

	private final AdminContext context;

	private final ConfigurationHandlers configuration;

	private final StatusHandlers status;

	private final AtomicInteger inProgress = new AtomicInteger();

	private HttpServer server;

	private AdminServer(Vertx vertx, Settings settings, AdminContext context) {
		this.vertx = vertx;
		this.settings = settings;
		this.access = OperatorAccess.of(settings.getPeer());
		this.context = context;
		this.configuration = new ConfigurationHandlers(settings.getNode(), context);
		this.status = new StatusHandlers(settings, context);
	}

	/**
	 * Create the server.
	 * @param vertx the Vert.x instance to use
	 * @param settings the settings of the daemon
	 * @param context the components that serve operator requests
	 * @return the server
	 */
	public static AdminServer create(Vertx vertx, Settings settings, AdminContext context) {
		return new AdminServer(vertx, settings, context);
	}

	/**
	 * Start listening. If no shared key is configured, bind to the loopback address only.
	 * @return a future with the port
	 */
	public Future<Integer> start() {
		if (!this.access.requiresKey()) {
			logger.log(Level.WARNING, "No [peer] key is set, so operators can reach this router from its host only; "
					+ "set the same key on all routers to allow others");
		}
		HttpServerOptions options = new HttpServerOptions()
			.setHost(this.access.requiresKey() ? this.settings.getNode().getAddress() : LOOPBACK)
			.setPort(this.settings.getEdge().getAdminPort())
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setIdleTimeout(IDLE_TIMEOUT_SECONDS);
		this.server = this.vertx.createHttpServer(options).requestHandler(this::handle);
		return this.server.listen().map(HttpServer::actualPort);
	}

	/**
	 * Stop listening.
	 * @return a future that completes when the server is closed
	 */
	public Future<Void> stop() {
		return (this.server != null) ? this.server.close() : Future.succeededFuture();
	}

	private void handle(HttpServerRequest request) {
		switch (request.path()) {
			case "/live" -> OperatorResponse.text(200, "live\n").send(request.response());
			case "/ready" -> this.status.ready().send(request.response());
			case "/metrics" ->
				new OperatorResponse(200, "text/plain; version=0.0.4; charset=utf-8", this.context.metrics().text())
					.send(request.response());
			default -> admit(request);
		}
	}

	private void admit(HttpServerRequest request) {
		if (!this.access.allows(request.getHeader("Authorization"))) {
			request.response().putHeader("WWW-Authenticate", "Bearer");
			OperatorResponse
				.error(401, "wrong-key", "The request does not carry the shared key",
						"Set BALSAMLANE_KEY or --key to [peer] key of the routers")
				.send(request.response());
			return;
		}
		if (this.inProgress.get() >= MAX_CONCURRENT_REQUESTS) {
			request.response().putHeader("Retry-After", "1");
			OperatorResponse
				.error(503, "too-many-requests",
						"This router is already processing " + MAX_CONCURRENT_REQUESTS + " requests",
						"Try again, or ask another router")
				.send(request.response());
			return;
		}
		this.inProgress.incrementAndGet();
		request.response().endHandler((ended) -> this.inProgress.decrementAndGet());
		route(request);
	}

	private void route(HttpServerRequest request) {
		switch (request.path()) {
			case API_PREFIX + "configuration" -> get(request, (ignored) -> this.configuration.read());
			case API_PREFIX + "explain" -> get(request, this.configuration::explain);
			case API_PREFIX + "status" -> get(request, (ignored) -> this.status.read());
			case API_PREFIX + "members" -> get(request, (ignored) -> this.status.members());
			case API_PREFIX + "events" -> get(request, this.status::events);
			case API_PREFIX + "changes" -> post(request, this.configuration::submit);
			case API_PREFIX + "in-force" -> get(request, this.configuration::inForce);
			case API_PREFIX + "restore" -> post(request, this.configuration::restore);
			case API_PREFIX + "preview" -> post(request, this.configuration::preview);
			case API_PREFIX + "drain" -> post(request, (body) -> this.status.drain());
			default -> OperatorResponse
				.error(404, "unknown-path", "No resource has the path " + request.path(), "See docs/interfaces.md")
				.send(request.response());
		}
	}

	private void get(HttpServerRequest request, Function<HttpServerRequest, Future<OperatorResponse>> handler) {
		if (request.method() == HttpMethod.GET) {
			respond(request, handler.apply(request));
		}
		else {
			rejectMethod(request, "GET");
		}
	}

	private void post(HttpServerRequest request, Function<Buffer, Future<OperatorResponse>> handler) {
		if (request.method() == HttpMethod.POST) {
			readBody(request).onSuccess((body) -> respond(request, handler.apply(body)));
		}
		else {
			rejectMethod(request, "POST");
		}
	}

	private static void rejectMethod(HttpServerRequest request, String method) {
		request.response().putHeader("Allow", method);
		OperatorResponse.error(405, "wrong-method", request.path() + " does not allow this method", "Use " + method)
			.send(request.response());
	}

	private static void respond(HttpServerRequest request, Future<OperatorResponse> response) {
		response.onSuccess((result) -> result.send(request.response())).onFailure((cause) -> {
			logger.log(Level.ERROR, "Operator request failed: " + request.path(), cause);
			OperatorResponse
				.error(500, "internal-error", "The router failed to process the request",
						"Check the log of this router")
				.send(request.response());
		});
	}

	// Discards the rest of an oversized body before closing the connection, because a
	// client that is still sending would otherwise lose the response.
	private static Future<Buffer> readBody(HttpServerRequest request) {
		Promise<Buffer> promise = Promise.promise();
		Buffer body = Buffer.buffer();
		AtomicLong receivedBytes = new AtomicLong();
		request.handler((chunk) -> {
			if (receivedBytes.addAndGet(chunk.length()) <= MAX_BODY_BYTES) {
				body.appendBuffer(chunk);
			}
			else if (receivedBytes.get() > MAX_DISCARDED_BYTES) {
				request.connection().close();
			}
			else if (!request.response().ended()) {
				request.response().putHeader("Connection", "close");
				OperatorResponse
					.error(413, "body-too-large", "The body is larger than " + MAX_BODY_BYTES + " bytes",
							"Send fewer objects in one change")
					.send(request.response());
			}
		});
		request.endHandler((end) -> {
			if (receivedBytes.get() <= MAX_BODY_BYTES) {
				promise.complete(body);
			}
			else {
				request.connection().close();
			}
		});
		return promise.future();
	}

}
