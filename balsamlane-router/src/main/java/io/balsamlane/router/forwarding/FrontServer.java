package io.balsamlane.router.forwarding;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.balsamlane.core.forwarding.ForwardedService;
import io.balsamlane.core.forwarding.ForwardingConfiguration;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.edge.ErrorKind;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

/**
 * HTTP server for callers whose requests are forwarded unchanged, and for the balancer's
 * readiness check.
 */
public final class FrontServer {

	/** Bound of Vert.x on headers; the configuration's own bound is lower. */
	private static final int MAX_HEADER_BYTES = 64 << 10;

	/** Above the idle time limits that operators set, which end connections first. */
	private static final int IDLE_SECONDS = 120;

	private static final int RETRY_AFTER_MILLIS = 500;

	private static final int UNAVAILABLE = 503;

	/** Time in which the balancer notices that this router is not ready: two checks. */
	private static final long BALANCER_NOTICE_MILLIS = 2600;

	private final ForwardingParts parts;

	private final String readyPath;

	private HttpServer callers;

	private HttpServer readiness;

	private int inProgress;

	private long bufferedBytes;

	private FrontServer(ForwardingParts parts, String readyPath) {
		this.parts = parts;
		this.readyPath = readyPath;
	}

	/**
	 * Creates the server.
	 * @param vertx the event loop
	 * @param dialect marks of requests and answers
	 * @param state what this router believes
	 * @param log receives each decision
	 * @param metrics counters and times
	 * @param crashes finds requests that crash servers
	 * @param reservations confirms room on engines in a large fleet
	 * @param readyPath path of the readiness check
	 * @return the server
	 */
	public static FrontServer create(Vertx vertx, ForwardingDialect dialect, ForwardingState state, DecisionLog log,
			ForwardingMetrics metrics, CrashGuard crashes, EngineReservations reservations, String readyPath) {
		ForwardingLimits limits = ForwardingLimits.defaults();
		state.setEndListener(crashes::ended);
		return new FrontServer(new ForwardingParts(vertx, dialect, state, new ServerClient(vertx, limits), limits, log,
				metrics, new WaitingStreams(vertx), crashes, reservations), readyPath);
	}

	/**
	 * Starts listening.
	 * @param front address for callers
	 * @param ready address for the balancer
	 * @return completes when both listen
	 */
	public Future<Void> start(Endpoint front, Endpoint ready) {
		this.callers = this.parts.vertx()
			.createHttpServer(new HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES)
				.setMaxInitialLineLength(MAX_HEADER_BYTES)
				.setIdleTimeout(IDLE_SECONDS)
				.setTcpNoDelay(true)
				.setHttp2ClearTextEnabled(false)
				.setHandle100ContinueAutomatically(true))
			.invalidRequestHandler(FrontServer::invalid)
			.requestHandler(this::handle);
		this.readiness = this.parts.vertx()
			.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
			.requestHandler(this::checked);
		this.parts.metrics().gauge("requests_in_progress", () -> this.inProgress);
		this.parts.metrics().gauge("servers_usable", () -> this.parts.state().usableCount());
		this.parts.metrics().gauge("waiting_streams", () -> this.parts.waiting().size());
		this.parts.metrics().gauge("buffered_bytes", () -> this.bufferedBytes);
		this.parts.metrics().gauge("list_age_seconds", () -> this.parts.state().serversAgeMillis() / 1e3);
		return this.callers.listen(front.port(), front.address())
			.compose((listening) -> this.readiness.listen(ready.port(), ready.address()))
			.mapEmpty();
	}

	/**
	 * Serves metrics at an address of their own. A router works without them, so a
	 * failure is only logged.
	 * @param metrics the address
	 * @return completes when the server listens or cannot
	 */
	public Future<Void> startMetrics(Endpoint metrics) {
		return this.parts.vertx()
			.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
			.requestHandler(this::metered)
			.listen(metrics.port(), metrics.address())
			.<Void>mapEmpty()
			.recover((cause) -> {
				this.parts.log().log("metrics-not-served", "", "address", metrics, "reason", cause.getMessage());
				return Future.succeededFuture();
			});
	}

	private static void invalid(HttpServerRequest request) {
		Throwable cause = request.decoderResult().cause();
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		ErrorKind kind = tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_HTTP;
		refuseAndClose(request, Refusal.of(kind, Ran.NO, "the request cannot be read"));
	}

	private static void refuseAndClose(HttpServerRequest request, Refusal refusal) {
		request.response().putHeader("Connection", "close");
		refusal.sendWithFractionalRetryAfter(request.response());
	}

	private void checked(HttpServerRequest request) {
		if (request.path().equals(this.readyPath)) {
			request.response().setStatusCode(this.parts.state().ready() ? 200 : 503).end();
		}
		else {
			metered(request);
		}
	}

	private void metered(HttpServerRequest request) {
		if (request.path().equals("/metrics")) {
			request.response()
				.putHeader("content-type", "text/plain; version=0.0.4")
				.end(this.parts.metrics().format());
		}
		else {
			request.response().setStatusCode(404).end();
		}
	}

	private void handle(HttpServerRequest request) {
		long startNanos = System.nanoTime();
		Optional<ForwardingConfiguration> configuration = this.parts.state().configuration();
		if (configuration.isEmpty()) {
			refuse(request, Refusal.withRetry(ErrorKind.NOT_CONFIGURED, Ran.NO, "no configuration is known yet",
					RETRY_AFTER_MILLIS));
			return;
		}
		if (this.inProgress >= this.parts.limits().maxConcurrentRequests()) {
			refuse(request, Refusal.withRetry(ErrorKind.TOO_MANY_REQUESTS, Ran.NO, "this router is at its limit",
					RETRY_AFTER_MILLIS));
			return;
		}
		Optional<ForwardingRoute> route = (request.authority() != null && request.path() != null)
				? configuration.get().route(request.authority().host(), request.path()) : Optional.empty();
		if (route.isEmpty()) {
			refuse(request, Refusal.of(ErrorKind.UNKNOWN_ROUTE, Ran.NO, "no route matches host and path"));
			return;
		}
		Optional<RequestMetadata> facts = this.parts.dialect().facts(request.headers());
		if (facts.isEmpty()) {
			refuse(request, Refusal.of(ErrorKind.MISSING_HEADER, Ran.NO, "the request has no id"));
			return;
		}
		String service = route.get().service(ThreadLocalRandom.current().nextDouble());
		Optional<ForwardedService> known = configuration.get().service(service);
		if (known.isEmpty()) {
			refuse(request, Refusal.withRetry(ErrorKind.NO_SERVER, Ran.NO, "the route's service is not configured",
					RETRY_AFTER_MILLIS));
			return;
		}
		long maxBodyBytes = configuration.get().limits().maxBodyBytes();
		Admission admission = new Admission(request);
		read(admission, maxBodyBytes,
				(body) -> start(admission, facts.get(), route.get(), known.get(), body, startNanos));
	}

	private void refuse(HttpServerRequest request, Refusal refusal) {
		this.parts.metrics().count("requests_total", refusal.kind());
		this.parts.log()
			.log("request-refused",
					this.parts.dialect().facts(request.headers()).map(RequestMetadata::requestId).orElse(""), "kind",
					refusal.kind(), "status", refusal.status(), "path", request.path(), "detail", refusal.detail(),
					"configuration",
					this.parts.state().configuration().map(ForwardingConfiguration::version).orElse(0L));
		if (this.parts.state().draining()) {
			request.response().putHeader("Connection", "close");
		}
		refusal.sendWithFractionalRetryAfter(request.response());
	}

	private void read(Admission admission, long maxBodyBytes, Consumer<Buffer> whole) {
		HttpServerRequest request = admission.request;
		Buffer body = Buffer.buffer();
		request.handler((chunk) -> {
			if (admission.released) {
				return;
			}
			if (body.length() + chunk.length() > maxBodyBytes) {
				admission.release();
				refuseAndClose(request, Refusal.of(ErrorKind.BODY_TOO_LARGE, Ran.NO,
						"the body has more than " + maxBodyBytes + " bytes"));
			}
			else if (!admission.hold(chunk.length())) {
				admission.release();
				refuseAndClose(request, Refusal.withRetry(ErrorKind.TOO_MANY_REQUESTS, Ran.NO,
						"this router holds too many request bodies", RETRY_AFTER_MILLIS));
			}
			else {
				body.appendBuffer(chunk);
			}
		});
		request.endHandler((end) -> {
			if (!admission.released) {
				whole.accept(body);
			}
		});
	}

	private void start(Admission admission, RequestMetadata facts, ForwardingRoute route, ForwardedService service,
			Buffer body, long startNanos) {
		HttpServerRequest request = admission.request;
		if (this.parts.crashes().refuses(CrashGuard.fingerprint(request, body))) {
			refuse(request, new Refusal(UNAVAILABLE, ErrorKind.QUARANTINED.text(), Ran.NO,
					"servers died while they ran this request", ErrorKind.QUARANTINED.remedy(), 0));
			return;
		}
		admission.exchange = route.kind().streams()
				? new StreamExchange(this.parts, request, facts, route, service, body, startNanos)
				: new PlainExchange(this.parts, request, facts, route, service, body, startNanos);
		admission.exchange.start();
	}

	/**
	 * Lets the balancer take this router out, then takes no new requests, waits until
	 * those in progress have ended, and closes everything. Kept connections are closed as
	 * soon as they carry no request, so that none arrives when this process ends.
	 * @param limitMillis longest time for all of it
	 * @return completes when everything is closed
	 */
	public Future<Void> stop(long limitMillis) {
		this.parts.state().drain();
		long noticeMillis = Math.min(BALANCER_NOTICE_MILLIS, limitMillis);
		return this.parts.vertx()
			.timer(Math.max(1, noticeMillis), TimeUnit.MILLISECONDS)
			.compose((noticed) -> this.callers.shutdown(limitMillis - noticeMillis, TimeUnit.MILLISECONDS))
			.compose((closed) -> this.readiness.shutdown(0, TimeUnit.SECONDS));
	}

	/**
	 * A request in progress and the bytes of its body that are held.
	 */
	private final class Admission {

		private final HttpServerRequest request;

		private ForwardedExchange exchange;

		private int heldBytes;

		private boolean released;

		Admission(HttpServerRequest request) {
			this.request = request;
			FrontServer.this.inProgress++;
			request.exceptionHandler((cause) -> callerGone());
			request.response().exceptionHandler((cause) -> callerGone());
			request.response().closeHandler((closed) -> callerGone());
			request.response().endHandler((sent) -> release());
		}

		boolean hold(int bytes) {
			if (FrontServer.this.bufferedBytes + bytes > FrontServer.this.parts.limits().maxBufferedBytes()) {
				return false;
			}
			this.heldBytes += bytes;
			FrontServer.this.bufferedBytes += bytes;
			return true;
		}

		void release() {
			if (!this.released) {
				this.released = true;
				FrontServer.this.inProgress--;
				FrontServer.this.bufferedBytes -= this.heldBytes;
			}
		}

		private void callerGone() {
			release();
			if (this.exchange != null) {
				this.exchange.callerGone();
			}
		}

	}

}
