package io.balsamlane.router.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.balsamlane.core.forwarding.CallerIdentity;
import io.balsamlane.core.forwarding.CallerLimits;
import io.balsamlane.core.forwarding.ForwardedService;
import io.balsamlane.core.forwarding.ForwardingConfiguration;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.core.forwarding.ShutdownSchedule;
import io.balsamlane.core.memory.MemoryBudget;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.edge.ErrorKind;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.balsamlane.router.http.ResponseMemory;
import io.balsamlane.router.intake.CallerGuard;
import io.balsamlane.router.intake.RequestBodyReader;
import io.balsamlane.router.quota.QuotaDecision;
import io.balsamlane.router.quota.QuotaService;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

/**
 * HTTP server that forwards the requests of callers unchanged, and answers the load
 * balancer's readiness checks.
 */
public final class FrontServer {

	/** Header size limit of Vert.x; the limit in the configuration is lower. */
	private static final int MAX_HEADER_BYTES = 64 << 10;

	/**
	 * Longer than the idle time limits that operators configure, so those take effect
	 * first.
	 */
	private static final int IDLE_SECONDS = 120;

	private static final int RETRY_AFTER_MILLIS = 500;

	/** Limits of the platform's description, until a configuration is in force. */
	private static final CallerLimits LIMITS_WITHOUT_CONFIGURATION = new CallerLimits(16_384, 4 << 20, 3000, 15_000);

	/**
	 * Part of the heap for requests and responses. The rest is for the views of the
	 * fleet, connections, and garbage.
	 */
	private static final int BUDGET_HEAP_PERCENT = 33;

	/**
	 * Time within which the load balancer notices that this router is not ready: two
	 * checks.
	 */
	private static final long BALANCER_NOTICE_MILLIS = 2600;

	private final ForwardingContext context;

	private final String readyPath;

	private HttpServer callers;

	private HttpServer readiness;

	private final Set<ForwardedExchange> exchanges = new HashSet<>();

	private int inProgress;

	private final MemoryBudget budget;

	private final QuotaService quotas;

	private final CallerGuard callerGuard;

	private FrontServer(ForwardingContext context, QuotaService quotas, MemoryBudget budget, String readyPath) {
		this.context = context;
		this.quotas = quotas;
		this.budget = budget;
		this.readyPath = readyPath;
		this.callerGuard = CallerGuard.create(budget,
				() -> context.state()
					.configuration()
					.map(ForwardingConfiguration::limits)
					.orElse(LIMITS_WITHOUT_CONFIGURATION),
				CallerGuard.maxConnections(), (reason) -> context.metrics().count("caller_limits_total", reason));
	}

	/**
	 * Create the server.
	 * @param vertx the event loop
	 * @param dialect conventions of the platform for requests and responses
	 * @param state this router's view of the configuration and the servers
	 * @param log receives each decision
	 * @param metrics metrics of forwarding
	 * @param crashGuard detects requests that crash servers
	 * @param reservations confirms free capacity on engines in a large fleet
	 * @param quotas decides whether requests are within the quotas of their customers
	 * @param readyPath path of the readiness check
	 * @return the server
	 */
	public static FrontServer create(Vertx vertx, ForwardingDialect dialect, ForwardingState state, DecisionLog log,
			ForwardingMetrics metrics, CrashGuard crashGuard, EngineReservations reservations, QuotaService quotas,
			String readyPath) {
		ForwardingLimits limits = ForwardingLimits.defaults();
		state.setTerminationListener(crashGuard::serverTerminated);
		ServerClient client = new ServerClient(vertx, limits, dialect.requestIdHeader(),
				UnmatchedResponseRecorder.create(log, metrics));
		MemoryBudget budget = MemoryBudget.ofSize(Runtime.getRuntime().maxMemory() * BUDGET_HEAP_PERCENT / 100);
		return new FrontServer(new ForwardingContext(vertx, dialect, state, client, limits, log, metrics,
				new WaitingStreams(vertx, state.customerUsage()), crashGuard, reservations,
				ResponseMemory.ofSize(limits.maxBufferedBytes(), budget)), quotas, budget, readyPath);
	}

	/**
	 * Start listening.
	 * @param front address for callers
	 * @param ready address for the load balancer
	 * @return completes when both servers listen
	 */
	public Future<Void> start(Endpoint front, Endpoint ready) {
		HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxInitialLineLength(MAX_HEADER_BYTES)
			.setIdleTimeout(IDLE_SECONDS)
			.setTcpNoDelay(true)
			.setHttp2ClearTextEnabled(false)
			.setHandle100ContinueAutomatically(true);
		this.callers = this.context.vertx()
			.createHttpServer(options)
			.connectionHandler((connection) -> this.callerGuard.connectionOpened(connection, options))
			.invalidRequestHandler(FrontServer::handleInvalidRequest)
			.requestHandler(this::handle);
		this.readiness = this.context.vertx()
			.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
			.requestHandler(this::handleReadinessCheck);
		this.context.metrics().gauge("requests_in_progress", () -> this.inProgress);
		this.context.metrics().gauge("servers_usable", () -> this.context.state().usableCount());
		this.context.metrics().gauge("servers_held_back", () -> this.context.state().heldBackCount());
		this.context.metrics().gauge("waiting_streams", () -> this.context.waiting().size());
		this.context.metrics().gauge("buffered_bytes", this.budget::usedBytes);
		this.context.metrics().gauge("caller_connections", this.callerGuard::connectionCount);
		this.context.metrics().gauge("quarantine_entries", () -> this.context.crashGuard().quarantinedCount());
		this.context.metrics()
			.gauge("configuration_version", () -> configurationValue(ForwardingConfiguration::version));
		this.context.metrics()
			.gauge("customers", () -> configurationValue((configuration) -> configuration.customers().size()));
		this.context.metrics()
			.gauge("customer_keys", () -> configurationValue((configuration) -> configuration.customers().keyCount()));
		this.context.metrics().gauge("list_age_seconds", () -> this.context.state().serversAgeMillis() / 1e3);
		return this.callers.listen(front.port(), front.address())
			.compose((listening) -> this.readiness.listen(ready.port(), ready.address()))
			.mapEmpty();
	}

	private Number configurationValue(Function<ForwardingConfiguration, Number> value) {
		return this.context.state().configuration().map(value).orElse(0);
	}

	/**
	 * Serve metrics at a separate address. The router works without them, so a failure is
	 * only logged.
	 * @param metrics the address
	 * @return completes when the server listens or has failed to
	 */
	public Future<Void> startMetrics(Endpoint metrics) {
		return this.context.vertx()
			.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
			.requestHandler(this::handleMetrics)
			.listen(metrics.port(), metrics.address())
			.<Void>mapEmpty()
			.recover((cause) -> {
				this.context.log().log("metrics-not-served", "", "address", metrics, "reason", cause.getMessage());
				return Future.succeededFuture();
			});
	}

	private static void handleInvalidRequest(HttpServerRequest request) {
		Throwable cause = request.decoderResult().cause();
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		ErrorKind kind = tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_HTTP;
		refuseAndClose(request, Refusal.of(kind, Ran.NO, "the HTTP request cannot be parsed"));
	}

	private static void refuseAndClose(HttpServerRequest request, Refusal refusal) {
		request.response().putHeader("Connection", "close");
		refusal.sendWithFractionalRetryAfter(request.response());
	}

	private void handleReadinessCheck(HttpServerRequest request) {
		if (request.path().equals(this.readyPath)) {
			request.response().setStatusCode(this.context.state().ready() ? 200 : 503).end();
		}
		else {
			handleMetrics(request);
		}
	}

	private void handleMetrics(HttpServerRequest request) {
		if (request.path().equals("/metrics")) {
			request.response()
				.putHeader("content-type", "text/plain; version=0.0.4")
				.end(this.context.metrics().format());
		}
		else {
			request.response().setStatusCode(404).end();
		}
	}

	private void handle(HttpServerRequest request) {
		long startNanos = System.nanoTime();
		if (request.response().writeQueueFull()) {
			// Responses to pipelined requests would wait in the queue of Vert.x, which
			// has no
			// limit, while the caller does not read the earlier ones.
			this.callerGuard.responseNotRead(request);
			return;
		}
		Optional<ForwardingConfiguration> configuration = this.context.state().configuration();
		if (configuration.isEmpty()) {
			refuse(request, Refusal.withRetry(ErrorKind.NOT_CONFIGURED, Ran.NO, "no configuration has been loaded yet",
					RETRY_AFTER_MILLIS));
			return;
		}
		if (this.inProgress >= this.context.limits().maxConcurrentRequests()) {
			refuse(request, Refusal.withRetry(ErrorKind.TOO_MANY_REQUESTS, Ran.NO,
					"this router has reached its limit of concurrent requests", RETRY_AFTER_MILLIS));
			return;
		}
		Optional<ForwardingRoute> route = (request.authority() != null && request.path() != null)
				? configuration.get().route(request.authority().host(), request.path()) : Optional.empty();
		if (route.isEmpty()) {
			refuse(request, Refusal.of(ErrorKind.UNKNOWN_ROUTE, Ran.NO, "no route matches the host and path"));
			return;
		}
		RequestCaller caller = RequestCaller.identify(this.context.state(), this.context.dialect(), request,
				route.get());
		if (caller.identity() instanceof CallerIdentity.Unknown unknown) {
			refuseUnknownCaller(request, unknown);
			return;
		}
		Optional<RequestMetadata> metadata = this.context.dialect().metadata(request.headers());
		if (metadata.isEmpty()) {
			refuse(request, caller, Refusal.of(ErrorKind.MISSING_HEADER, Ran.NO, "the request has no id"));
			return;
		}
		String service = route.get().service(ThreadLocalRandom.current().nextDouble());
		Optional<ForwardedService> known = configuration.get().service(service);
		if (known.isEmpty()) {
			refuse(request, caller, Refusal.withRetry(ErrorKind.NO_SERVER, Ran.NO,
					"the route's service is not configured", RETRY_AFTER_MILLIS));
			return;
		}
		receive(request, caller, metadata.get(), route.get(), known.get(), startNanos);
	}

	private void refuseUnknownCaller(HttpServerRequest request, CallerIdentity.Unknown unknown) {
		this.context.metrics().count("keys_rejected_total", unknown.keyPresent() ? "unknown" : "missing");
		refuse(request, Refusal.of(ErrorKind.UNKNOWN_KEY, Ran.NO, unknown.keyPresent()
				? "the API key identifies no customer" : "the request does not have exactly one well-formed API key"));
	}

	// Reads the body of a request whose caller has been identified, and starts it. The
	// quota is checked meanwhile.
	private void receive(HttpServerRequest request, RequestCaller caller, RequestMetadata metadata,
			ForwardingRoute route, ForwardedService service, long startNanos) {
		ForwardingConfiguration configuration = this.context.state().configuration().orElseThrow();
		Admission admission = new Admission(request);
		admission.charge = caller.identity()
			.customer()
			.map((customer) -> QuotaCharge.request(this.quotas, customer, configuration.version(), metadata));
		// Reads before the decision, which may already be there: a refusal ends the
		// reading.
		read(admission, configuration.limits().maxBodyBytes(), route.timeoutMillis(), (body) -> {
			Runnable start = () -> start(admission, caller, metadata, route, service, body, startNanos);
			admission.charge.ifPresentOrElse((charge) -> charge.currentDecision()
				.onSuccess((decision) -> startIfGranted(admission, caller, decision, start)), start);
		});
		admission.charge.ifPresent(
				(charge) -> charge.decision().onSuccess((decision) -> refuseIfExceeded(admission, caller, decision)));
	}

	private void startIfGranted(Admission admission, RequestCaller caller, QuotaDecision decision, Runnable start) {
		refuseIfExceeded(admission, caller, decision);
		if (!admission.released) {
			start.run();
		}
	}

	private void refuseIfExceeded(Admission admission, RequestCaller caller, QuotaDecision decision) {
		if (decision instanceof QuotaDecision.Exceeded exceeded && !admission.released) {
			admission.release();
			refuse(admission.request, caller, Refusal.withRetry(ErrorKind.QUOTA_EXCEEDED, Ran.NO,
					"the customer has used its quota of tokens", exceeded.retryAfterMillis()));
		}
	}

	private void refuse(HttpServerRequest request, Refusal refusal) {
		refuse(request, Optional.empty(), refusal);
	}

	private void refuse(HttpServerRequest request, RequestCaller caller, Refusal refusal) {
		refuse(request, Optional.of(caller), refusal);
	}

	private void refuse(HttpServerRequest request, Optional<RequestCaller> caller, Refusal refusal) {
		Object[] fields = { "kind", refusal.kind(), "status", refusal.status(), "path", request.path(), "detail",
				refusal.detail(), "configuration",
				this.context.state().configuration().map(ForwardingConfiguration::version).orElse(0L) };
		this.context.metrics().count("requests_total", refusal.kind());
		this.context.log()
			.log("request-refused",
					this.context.dialect().metadata(request.headers()).map(RequestMetadata::requestId).orElse(""),
					caller.map((known) -> known.logFields(fields)).orElse(fields));
		if (this.context.state().draining()) {
			request.response().putHeader("Connection", "close");
		}
		refusal.sendWithFractionalRetryAfter(request.response());
	}

	private void read(Admission admission, long maxBodyBytes, long limitMillis, Consumer<Buffer> whole) {
		HttpServerRequest request = admission.request;
		admission.body = RequestBodyReader.read(this.context.vertx(), this.callerGuard, request, maxBodyBytes,
				limitMillis, whole, (refusal) -> {
					admission.release();
					refuseAndClose(request, refusal);
					this.callerGuard.closeSoon(request);
				});
	}

	private void start(Admission admission, RequestCaller caller, RequestMetadata metadata, ForwardingRoute route,
			ForwardedService service, Buffer body, long startNanos) {
		HttpServerRequest request = admission.request;
		if (this.context.crashGuard()
			.isQuarantined(RequestTraits.of(CrashGuard.fingerprint(request, body), metadata))) {
			refuse(request, caller, Refusal.quarantined(Ran.NO));
			return;
		}
		if (!this.context.state()
			.shutdown()
			.map((schedule) -> schedule.accepts(route, System.nanoTime()))
			.orElse(true)) {
			refuse(request, caller, Refusal.withRetry(ErrorKind.SHUTTING_DOWN, Ran.NO,
					"this router exits before the request could end", RETRY_AFTER_MILLIS));
			return;
		}
		admission.exchange = route.kind().streams()
				? new StreamExchange(this.context, request, metadata, route, service, caller, body, startNanos)
				: new PlainExchange(this.context, request, metadata, route, service, caller, body, startNanos);
		this.exchanges.add(admission.exchange);
		admission.exchange.start(admission.charge);
	}

	/**
	 * Shut down gracefully. Wait until the load balancer has removed this router, stop
	 * accepting connections, wait for the requests in progress, and close both servers.
	 * Keep-alive connections are closed as soon as they are idle. A request that still
	 * arrives is refused if it cannot end in time; those that have not ended shortly
	 * before the limit end with an error.
	 * @param limitMillis time limit for the shutdown, in milliseconds
	 * @return completes when both servers are closed
	 */
	public Future<Void> stop(long limitMillis) {
		ShutdownSchedule schedule = ShutdownSchedule.starting(System.nanoTime(), BALANCER_NOTICE_MILLIS, limitMillis);
		this.context.state().drain(schedule);
		this.context.vertx()
			.setTimer(Math.max(1, schedule.remainingMillis(System.nanoTime())),
					(id) -> List.copyOf(this.exchanges).forEach(ForwardedExchange::processExits));
		long noticeMillis = Math.min(BALANCER_NOTICE_MILLIS, limitMillis);
		return this.context.vertx()
			.timer(Math.max(1, noticeMillis), TimeUnit.MILLISECONDS)
			.compose((noticed) -> this.callers.shutdown(limitMillis - noticeMillis, TimeUnit.MILLISECONDS))
			.compose((closed) -> this.readiness.shutdown(0, TimeUnit.SECONDS));
	}

	/**
	 * Accounts for a request in progress and for the memory that its body uses.
	 */
	private final class Admission {

		private final HttpServerRequest request;

		private ForwardedExchange exchange;

		private Optional<QuotaCharge> charge = Optional.empty();

		private RequestBodyReader body;

		private boolean released;

		Admission(HttpServerRequest request) {
			this.request = request;
			FrontServer.this.inProgress++;
			request.exceptionHandler((cause) -> callerDisconnected());
			request.response().exceptionHandler((cause) -> callerDisconnected());
			request.response().closeHandler((closed) -> callerDisconnected());
			request.response().endHandler((sent) -> release());
		}

		void release() {
			if (!this.released) {
				this.released = true;
				FrontServer.this.inProgress--;
				FrontServer.this.exchanges.remove(this.exchange);
				if (this.body != null) {
					this.body.close();
				}
				if (this.exchange == null) {
					this.charge.ifPresent(QuotaCharge::giveBack);
				}
			}
		}

		private void callerDisconnected() {
			release();
			if (this.exchange != null) {
				this.exchange.callerDisconnected();
			}
		}

	}

}
