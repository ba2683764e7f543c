package io.balsamlane.router.edge;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.core.routing.Route;
import io.balsamlane.router.RouterState;
import io.balsamlane.router.records.IntentService;
import io.balsamlane.router.service.ServiceCallHandler;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.EdgeSettings;
import io.balsamlane.schema.Settings;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.json.DecodeException;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * HTTP server for callers, which accepts model requests and calls of plain services.
 */
public final class CallerServer {

	private static final String SERVICE_PREFIX = "/services/";

	private static final String BEARER_PREFIX = "Bearer ";

	private static final int RETRY_AFTER_MILLIS = 1000;

	private static final int MAX_TRACEPARENT_CHARS = 128;

	private static final int SHUTDOWN_TIMEOUT_SECONDS = 1;

	private final Vertx vertx;

	private final ModelRequestServices modelServices;

	private final Settings settings;

	private final RouterState state;

	private final ServiceCallHandler serviceCalls;

	private final IdleConnectionMonitor idleConnections;

	private final AtomicInteger inProgress = new AtomicInteger();

	private final String requestIdPrefix;

	private long nextRequest;

	private volatile boolean refusing;

	private HttpServer server;

	private CallerServer(ModelRequestServices modelServices, RouterState state, IntentService intents,
			long incarnation) {
		this.vertx = modelServices.context().owner();
		this.modelServices = modelServices;
		this.settings = modelServices.settings();
		this.state = state;
		String host = this.settings.getNode().getHost();
		this.requestIdPrefix = host + "-" + Long.toString(incarnation, 36) + "-";
		this.idleConnections = new IdleConnectionMonitor(this.vertx, this.settings.getEdge().getIdleTimeoutMillis());
		this.serviceCalls = ServiceCallHandler.create(this.vertx, this.settings, intents, modelServices.timeline());
	}

	/**
	 * Create the server.
	 * @param modelServices the components that all model requests share
	 * @param state the current routes
	 * @param intents stores records of non-repeatable calls
	 * @param incarnation incarnation of this process, which together with the host makes
	 * request ids unique
	 * @return the server
	 */
	public static CallerServer create(ModelRequestServices modelServices, RouterState state, IntentService intents,
			long incarnation) {
		return new CallerServer(modelServices, state, intents, incarnation);
	}

	/**
	 * Start listening.
	 * @return completes with the port
	 */
	public Future<Integer> start() {
		EdgeSettings edge = this.settings.getEdge();
		HttpServerOptions options = new HttpServerOptions().setHost(this.settings.getNode().getAddress())
			.setPort(edge.getPort())
			.setMaxHeaderSize(edge.getMaxHeaderBytes())
			.setMaxInitialLineLength(edge.getMaxHeaderBytes())
			.setInitialSettings(new Http2Settings().setMaxHeaderListSize(edge.getMaxHeaderBytes()))
			.setHttp2ClearTextEnabled(true);
		Promise<Integer> started = Promise.promise();
		this.modelServices.context().runOnContext((ignored) -> {
			this.server = this.vertx.createHttpServer(options)
				.connectionHandler(this.idleConnections::connectionOpened)
				.invalidRequestHandler(CallerServer::refuseInvalid)
				.requestHandler(this::handle);
			this.server.listen().map(HttpServer::actualPort).onComplete(started);
		});
		return started.future();
	}

	/**
	 * Refuse new requests as not run from now on; requests in progress continue.
	 */
	public void refuseNew() {
		this.refusing = true;
	}

	/**
	 * Stop listening and close all connections.
	 * @return completes when all connections are closed
	 */
	public Future<Void> stop() {
		return this.server.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Return the number of requests that have not been answered yet.
	 * @return the number of requests in progress
	 */
	public int inProgress() {
		return this.inProgress.get();
	}

	private static void refuseInvalid(HttpServerRequest request) {
		Throwable cause = request.decoderResult().cause();
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		ErrorKind kind = tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_HTTP;
		refuseAndClose(request, Refusal.of(kind, Ran.NO, "the request cannot be parsed"));
	}

	private void handle(HttpServerRequest request) {
		String requestId = this.requestIdPrefix + this.nextRequest++;
		request.response().putHeader("X-Request-Id", requestId);
		if (this.state.isolated()) {
			refuseAndClose(request, Refusal.withRetry(ErrorKind.ROUTER_ISOLATED, Ran.NO,
					"this router may lack accepted configuration changes", RETRY_AFTER_MILLIS));
			return;
		}
		if (this.refusing) {
			refuseAndClose(request, Refusal.withRetry(ErrorKind.SHUTTING_DOWN, Ran.NO, "this router is shutting down",
					RETRY_AFTER_MILLIS));
			return;
		}
		if (this.inProgress.get() >= this.settings.getEdge().getMaxConcurrentRequests()) {
			refuseAndClose(request, Refusal.withRetry(ErrorKind.TOO_MANY_REQUESTS, Ran.NO,
					"this router has reached its limit of concurrent requests", RETRY_AFTER_MILLIS));
			return;
		}
		if (this.state.draining() && request.version() != HttpVersion.HTTP_2) {
			// Moves persistent connections to other routers before requests are refused.
			request.response().putHeader("Connection", "close");
		}
		Completion completion = new Completion(() -> {
			this.inProgress.decrementAndGet();
			this.idleConnections.requestEnded(request.connection());
		});
		this.inProgress.incrementAndGet();
		this.idleConnections.requestStarted(request.connection());
		request.response().endHandler((ended) -> completion.run());
		request.response().closeHandler((closed) -> completion.run());
		route(request, requestId, resolveCaller(request), completion);
	}

	private void route(HttpServerRequest request, String requestId, Caller caller, Completion completion) {
		String target = request.path();
		boolean chat = target.equals("/v1/chat/completions");
		if (chat || target.equals("/v1/completions")) {
			if (request.method() == HttpMethod.POST) {
				handleModelRequest(request, requestId, caller, chat, completion);
			}
			else {
				Refusal.of(ErrorKind.WRONG_METHOD, Ran.NO, "the method is " + request.method())
					.send(request.response());
			}
		}
		else if (target.startsWith(SERVICE_PREFIX)) {
			handleServiceCall(request, requestId, caller);
		}
		else {
			Refusal.of(ErrorKind.UNKNOWN_PATH, Ran.NO, "no resource has the path " + target).send(request.response());
		}
	}

	private Caller resolveCaller(HttpServerRequest request) {
		String authorization = request.getHeader("Authorization");
		if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
			return Caller.getDefaultInstance();
		}
		String token = authorization.substring(BEARER_PREFIX.length());
		String hash = DigestUtils.sha256Hex(token.getBytes(StandardCharsets.UTF_8));
		return this.state.routes().caller(hash).orElse(Caller.getDefaultInstance());
	}

	private void handleModelRequest(HttpServerRequest request, String requestId, Caller caller, boolean chat,
			Completion completion) {
		BodyReader.read(this.vertx, request, this.settings.getEdge(), (result) -> {
			if (result instanceof BodyReader.Refused refused) {
				refuseAndClose(request, refused.refusal());
			}
			else if (result instanceof BodyReader.Body body) {
				parseModelRequest(request, requestId, caller, chat, body.bytes(), completion);
			}
		});
	}

	private void parseModelRequest(HttpServerRequest request, String requestId, Caller caller, boolean chat,
			Buffer body, Completion completion) {
		ModelRequest parsed;
		try {
			parsed = ModelRequest.parse(requestId, chat, body.toJsonObject());
		}
		catch (DecodeException | ClassCastException ex) {
			Refusal.of(ErrorKind.MALFORMED_REQUEST, Ran.NO, "the body is not a JSON object").send(request.response());
			return;
		}
		catch (IllegalArgumentException ex) {
			Refusal.of(ErrorKind.MALFORMED_REQUEST, Ran.NO, ex.getMessage()).send(request.response());
			return;
		}
		startExchange(request, caller, parsed, completion);
	}

	private void startExchange(HttpServerRequest request, Caller caller, ModelRequest parsed, Completion completion) {
		Route route = this.state.routes().modelRoute(caller, parsed.model());
		if (!(route instanceof Route.ToEngines engineRoute)) {
			refuse(request, (Route.None) route);
			return;
		}
		ResponseWriter responseWriter = ResponseWriter.create(this.vertx, request.response(), parsed,
				this.settings.getEdge());
		String traceparent = request.getHeader("traceparent");
		ModelExchange exchange = new ModelExchange(this.modelServices, parsed, caller, engineRoute, responseWriter,
				(traceparent != null && traceparent.length() <= MAX_TRACEPARENT_CHARS) ? traceparent : "");
		request.response().closeHandler((closed) -> {
			exchange.callerDisconnected();
			completion.run();
		});
		request.response().exceptionHandler((cause) -> {
			exchange.callerDisconnected();
			completion.run();
		});
		exchange.start();
	}

	private void handleServiceCall(HttpServerRequest request, String requestId, Caller caller) {
		String rest = request.uri().substring(SERVICE_PREFIX.length());
		int slash = rest.indexOf('/');
		String name = (slash >= 0) ? rest.substring(0, slash) : rest;
		Route route = this.state.routes().serviceRoute(caller, name);
		if (route instanceof Route.ToService serviceRoute) {
			this.serviceCalls.handle(request, requestId, caller.getName(), serviceRoute,
					(slash >= 0) ? rest.substring(slash) : "/");
		}
		else {
			refuse(request, (Route.None) route);
		}
	}

	private static void refuse(HttpServerRequest request, Route.None none) {
		Refusal.ofKind(none.kind(), Ran.NO, none.message(), 0).send(request.response());
	}

	// Refuses a request and closes its HTTP/1 connection, because more bytes of the
	// request may follow.
	private static void refuseAndClose(HttpServerRequest request, Refusal refusal) {
		if (request.version() == HttpVersion.HTTP_2) {
			refusal.send(request.response());
			return;
		}
		request.response().putHeader("Connection", "close");
		refusal.send(request.response());
	}

	/**
	 * Runs an action at most once.
	 */
	private static final class Completion {

		private Runnable action;

		Completion(Runnable action) {
			this.action = action;
		}

		void run() {
			Runnable pending = this.action;
			this.action = null;
			if (pending != null) {
				pending.run();
			}
		}

	}

}
