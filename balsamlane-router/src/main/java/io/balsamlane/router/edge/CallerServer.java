package io.balsamlane.router.edge;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.core.routing.Route;
import io.balsamlane.router.RouterState;
import io.balsamlane.router.decision.GrantService;
import io.balsamlane.router.engine.EngineClient;
import io.balsamlane.router.records.IntentService;
import io.balsamlane.router.service.ServiceCallHandler;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * HTTP server for callers: model requests and calls of plain services.
 */
public final class CallerServer {

	private static final String SERVICE_PREFIX = "/services/";

	private static final String BEARER_PREFIX = "Bearer ";

	private final Vertx vertx;

	private final Settings settings;

	private final RouterState state;

	private final GrantService grants;

	private final EngineClient engines;

	private final Timeline timeline;

	private final ServiceCallHandler services;

	private final AtomicInteger inProgress = new AtomicInteger();

	private final String requestIdPrefix;

	private long nextRequest;

	private HttpServer server;

	private CallerServer(Vertx vertx, Settings settings, RouterState state, GrantService grants, EngineClient engines,
			IntentService intents, Timeline timeline) {
		this.vertx = vertx;
		this.settings = settings;
		this.state = state;
		this.grants = grants;
		this.engines = engines;
		this.timeline = timeline;
		String host = settings.getNode().getHost();
		this.requestIdPrefix = host + "-" + Long.toString(System.currentTimeMillis(), 36) + "-";
		this.services = ServiceCallHandler.create(vertx, settings, intents, timeline);
	}

	/**
	 * Creates the server.
	 * @param vertx the event loops to use
	 * @param settings the settings of the daemon
	 * @param state the routes in force
	 * @param grants decides which engines run a model request
	 * @param engines access to engines
	 * @param intents records of non-repeatable calls
	 * @param timeline receives events
	 * @return the server
	 */
	public static CallerServer create(Vertx vertx, Settings settings, RouterState state, GrantService grants,
			EngineClient engines, IntentService intents, Timeline timeline) {
		return new CallerServer(vertx, settings, state, grants, engines, intents, timeline);
	}

	/**
	 * Starts listening.
	 * @return the port
	 */
	public Future<Integer> start() {
		HttpServerOptions options = new HttpServerOptions().setHost(this.settings.getNode().getAddress())
			.setPort(this.settings.getEdge().getPort())
			.setMaxHeaderSize(this.settings.getEdge().getMaxHeaderBytes());
		this.server = this.vertx.createHttpServer(options).requestHandler(this::handle);
		return this.server.listen().map(HttpServer::actualPort);
	}

	/**
	 * Stops listening and closes all connections.
	 * @return completes when everything is closed
	 */
	public Future<Void> stop() {
		return this.server.close();
	}

	/**
	 * Returns the number of requests that have not been answered yet.
	 * @return the requests in progress
	 */
	public int inProgress() {
		return this.inProgress.get();
	}

	private void handle(HttpServerRequest request) {
		String requestId = this.requestIdPrefix + this.nextRequest++;
		request.response().putHeader("X-Request-Id", requestId);
		if (this.inProgress.get() >= this.settings.getEdge().getMaxConcurrentRequests()) {
			Refusal.withRetry(503, "too-many-requests", Ran.NO, "this router is at its limit", 1000)
				.send(request.response());
			return;
		}
		this.inProgress.incrementAndGet();
		request.response().endHandler((ended) -> this.inProgress.decrementAndGet());
		Caller caller = caller(request);
		String path = request.path();
		if (request.method() == HttpMethod.POST && path.equals("/v1/chat/completions")) {
			model(request, requestId, caller, true);
		}
		else if (request.method() == HttpMethod.POST && path.equals("/v1/completions")) {
			model(request, requestId, caller, false);
		}
		else if (path.startsWith(SERVICE_PREFIX)) {
			service(request, requestId, caller);
		}
		else {
			Refusal
				.of(404, "unknown-path", Ran.NO, "no resource has the path " + path,
						"Use /v1/chat/completions, /v1/completions or /services/NAME/PATH")
				.send(request.response());
		}
	}

	private Caller caller(HttpServerRequest request) {
		String authorization = request.getHeader("Authorization");
		if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
			return Caller.getDefaultInstance();
		}
		String token = authorization.substring(BEARER_PREFIX.length());
		String hash = DigestUtils.sha256Hex(token.getBytes(StandardCharsets.UTF_8));
		return this.state.routes().caller(hash).orElse(Caller.getDefaultInstance());
	}

	private void model(HttpServerRequest request, String requestId, Caller caller, boolean chat) {
		request.body().onSuccess((body) -> {
			try {
				start(request, caller, ModelRequest.parse(requestId, chat, body.toJsonObject()));
			}
			catch (DecodeException | IllegalArgumentException | ClassCastException ex) {
				Refusal
					.of(400, "malformed-request", Ran.NO, ex.getMessage(),
							"Send a JSON object in the completion or chat shape")
					.send(request.response());
			}
		});
	}

	private void start(HttpServerRequest request, Caller caller, ModelRequest parsed) {
		Route route = this.state.routes().modelRoute(caller, parsed.model());
		if (!(route instanceof Route.ToEngines engineRoute)) {
			refuse(request, (Route.None) route);
			return;
		}
		AnswerWriter answer = AnswerWriter.create(request.response(), parsed, System.currentTimeMillis() / 1000);
		ModelExchange exchange = new ModelExchange(this.grants, this.engines, this.timeline, parsed, caller,
				engineRoute, answer, () -> {
				});
		request.response().closeHandler((closed) -> exchange.callerGone());
		request.response().exceptionHandler((cause) -> exchange.callerGone());
		exchange.start();
	}

	private void service(HttpServerRequest request, String requestId, Caller caller) {
		String rest = request.uri().substring(SERVICE_PREFIX.length());
		int slash = rest.indexOf('/');
		String name = (slash >= 0) ? rest.substring(0, slash) : rest;
		Route route = this.state.routes().serviceRoute(caller, name);
		if (route instanceof Route.ToService serviceRoute) {
			this.services.handle(request, requestId, caller.getName(), serviceRoute,
					(slash >= 0) ? rest.substring(slash) : "/");
		}
		else {
			refuse(request, (Route.None) route);
		}
	}

	private static void refuse(HttpServerRequest request, Route.None none) {
		int status = none.kind().startsWith("unknown") ? 404 : 403;
		Refusal.of(status, none.kind(), Ran.NO, none.message(), "Check the name, or ask an operator for access")
			.send(request.response());
	}

}
