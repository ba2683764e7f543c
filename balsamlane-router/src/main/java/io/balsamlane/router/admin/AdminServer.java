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
 * HTTP server for operators, the balancer's health checks and metrics.
 * <p>
 * {@code /live}, {@code /ready} and {@code /metrics} need no key, because balancers and
 * collectors seldom can send one; they carry no data of callers.
 */
public final class AdminServer {

	private static final Logger logger = System.getLogger(AdminServer.class.getName());

	private static final String API_PREFIX = "/admin/v1/";

	private static final String LOOPBACK = "127.0.0.1";

	// A change cannot be larger than the configuration, which the platform store limits
	// to 1 MB; its JSON form is larger than the stored form.
	private static final int MAX_BODY_BYTES = 2 << 20;

	private static final int MAX_DISCARDED_BYTES = 16 << 20;

	private static final int MAX_CONCURRENT_REQUESTS = 64;

	private static final int IDLE_TIMEOUT_SECONDS = 60;

	private static final int MAX_HEADER_BYTES = 16_384;

	private final Vertx vertx;

	private final Settings settings;

	private final OperatorAccess access;

	private final OperatorParts parts;

	private final ConfigurationHandlers configuration;

	private final StatusHandlers status;

	private final AtomicInteger inProgress = new AtomicInteger();

	private HttpServer server;

	private AdminServer(Vertx vertx, Settings settings, OperatorParts parts) {
		this.vertx = vertx;
		this.settings = settings;
		this.access = OperatorAccess.of(settings.getPeer());
		this.parts = parts;
		this.configuration = new ConfigurationHandlers(settings.getNode(), parts);
		this.status = new StatusHandlers(settings, parts);
	}

	/**
	 * Creates the server.
	 * @param vertx the event loops to use
	 * @param settings the settings of the daemon
	 * @param parts what operators can ask
	 * @return the server
	 */
	public static AdminServer create(Vertx vertx, Settings settings, OperatorParts parts) {
		return new AdminServer(vertx, settings, parts);
	}

	/**
	 * Starts listening; without a shared key on loopback only.
	 * @return the port
	 */
	public Future<Integer> start() {
		if (!this.access.keyed()) {
			logger.log(Level.WARNING, "No [peer] key is set, so operators can reach this router from its host only; "
					+ "set the same key on all routers to allow others");
		}
		HttpServerOptions options = new HttpServerOptions()
			.setHost(this.access.keyed() ? this.settings.getNode().getAddress() : LOOPBACK)
			.setPort(this.settings.getEdge().getAdminPort())
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setIdleTimeout(IDLE_TIMEOUT_SECONDS);
		this.server = this.vertx.createHttpServer(options).requestHandler(this::handle);
		return this.server.listen().map(HttpServer::actualPort);
	}

	/**
	 * Stops listening.
	 * @return completes when everything is closed
	 */
	public Future<Void> stop() {
		return (this.server != null) ? this.server.close() : Future.succeededFuture();
	}

	private void handle(HttpServerRequest request) {
		switch (request.path()) {
			case "/live" -> OperatorAnswer.text(200, "live\n").send(request.response());
			case "/ready" -> this.status.ready().send(request.response());
			case "/metrics" ->
				new OperatorAnswer(200, "text/plain; version=0.0.4; charset=utf-8", this.parts.metrics().text())
					.send(request.response());
			default -> admit(request);
		}
	}

	private void admit(HttpServerRequest request) {
		if (!this.access.allows(request.getHeader("Authorization"))) {
			request.response().putHeader("WWW-Authenticate", "Bearer");
			OperatorAnswer
				.error(401, "wrong-key", "The request does not carry the shared key",
						"Set BALSAMLANE_KEY or --key to [peer] key of the routers")
				.send(request.response());
			return;
		}
		if (this.inProgress.get() >= MAX_CONCURRENT_REQUESTS) {
			request.response().putHeader("Retry-After", "1");
			OperatorAnswer
				.error(503, "too-many-requests", "This router answers " + MAX_CONCURRENT_REQUESTS + " requests already",
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
			case API_PREFIX + "configuration" -> get(request, (asked) -> this.configuration.read());
			case API_PREFIX + "explain" -> get(request, this.configuration::explain);
			case API_PREFIX + "status" -> get(request, (asked) -> this.status.read());
			case API_PREFIX + "members" -> get(request, (asked) -> this.status.members());
			case API_PREFIX + "events" -> get(request, this.status::events);
			case API_PREFIX + "changes" -> post(request, this.configuration::submit);
			case API_PREFIX + "in-force" -> get(request, this.configuration::inForce);
			case API_PREFIX + "restore" -> post(request, this.configuration::restore);
			case API_PREFIX + "preview" -> post(request, this.configuration::preview);
			case API_PREFIX + "drain" -> post(request, (body) -> this.status.drain());
			default -> OperatorAnswer
				.error(404, "unknown-path", "No resource has the path " + request.path(), "See docs/interfaces.md")
				.send(request.response());
		}
	}

	private void get(HttpServerRequest request, Function<HttpServerRequest, Future<OperatorAnswer>> handler) {
		if (request.method() == HttpMethod.GET) {
			answer(request, handler.apply(request));
		}
		else {
			wrongMethod(request, "GET");
		}
	}

	private void post(HttpServerRequest request, Function<Buffer, Future<OperatorAnswer>> handler) {
		if (request.method() == HttpMethod.POST) {
			body(request).onSuccess((body) -> answer(request, handler.apply(body)));
		}
		else {
			wrongMethod(request, "POST");
		}
	}

	private static void wrongMethod(HttpServerRequest request, String method) {
		request.response().putHeader("Allow", method);
		OperatorAnswer.error(405, "wrong-method", request.path() + " does not allow this method", "Use " + method)
			.send(request.response());
	}

	private static void answer(HttpServerRequest request, Future<OperatorAnswer> answer) {
		answer.onSuccess((result) -> result.send(request.response())).onFailure((cause) -> {
			logger.log(Level.ERROR, "An operator's request failed: " + request.path(), cause);
			OperatorAnswer
				.error(500, "internal-error", "The request failed inside the router", "Look at the log of this router")
				.send(request.response());
		});
	}

	// The rest of a body that is too large is discarded before the connection closes,
	// because a client that is still sending would lose the answer with the connection.
	private static Future<Buffer> body(HttpServerRequest request) {
		Promise<Buffer> promise = Promise.promise();
		Buffer body = Buffer.buffer();
		AtomicLong receivedBytes = new AtomicLong();
		request.handler((part) -> {
			if (receivedBytes.addAndGet(part.length()) <= MAX_BODY_BYTES) {
				body.appendBuffer(part);
			}
			else if (receivedBytes.get() > MAX_DISCARDED_BYTES) {
				request.connection().close();
			}
			else if (!request.response().ended()) {
				request.response().putHeader("Connection", "close");
				OperatorAnswer
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
