package io.balsamlane.router.forwarding;

import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;

import io.balsamlane.core.forwarding.AttemptOutcome;
import io.balsamlane.core.forwarding.ForwardedService;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.NextStep;
import io.balsamlane.core.forwarding.RequestAttempts;
import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.router.edge.ErrorKind;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.balsamlane.router.service.ForwardedHeaders;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * Base class for the exchange with one caller: tracks the deadline and the attempts of
 * its request, and sends exactly one final response.
 */
abstract class ForwardedExchange implements TrackedRequest {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Minimum remaining time for another attempt: two round trips between regions.
	 */
	private static final long MIN_ATTEMPT_MILLIS = 80;

	/** Default retry delay; about the duration of a few requests. */
	private static final int DEFAULT_RETRY_AFTER_MILLIS = 300;

	/**
	 * Maximum random extension of the retry delay, as a fraction of it, so that callers
	 * refused at the same time do not retry simultaneously.
	 */
	private static final double RETRY_SPREAD = 0.5;

	private static final String KEY_WITHDRAWN = "the configuration in force does not contain the key of the request";

	private final ForwardingContext context;

	private final HttpServerRequest request;

	private final RequestMetadata metadata;

	private final ForwardingRoute route;

	private final ForwardedService service;

	private final RequestCaller caller;

	private final Buffer body;

	private final RequestAttempts attempts;

	private final RequestTraits traits;

	private final long startNanos;

	private final long deadlineNanos;

	private long timer = -1;

	private boolean done;

	ForwardedExchange(ForwardingContext context, HttpServerRequest request, RequestMetadata metadata,
			ForwardingRoute route, ForwardedService service, RequestCaller caller, Buffer body, long startNanos) {
		this.context = context;
		this.request = request;
		this.metadata = metadata;
		this.route = route;
		this.service = service;
		this.caller = caller;
		this.body = body;
		this.traits = RequestTraits.of(CrashGuard.fingerprint(request, body), metadata);
		this.startNanos = startNanos;
		long callerMillis = (metadata.deadlineMillis() > 0) ? Math.min(metadata.deadlineMillis(), route.timeoutMillis())
				: route.timeoutMillis();
		long limitMillis = context.state()
			.shutdown()
			.map((schedule) -> Math.min(callerMillis, schedule.remainingMillis(startNanos)))
			.orElse(callerMillis);
		this.deadlineNanos = startNanos + limitMillis * NANOS_PER_MILLI;
		this.attempts = RequestAttempts.create(route.kind(), route.maxAttempts(),
				() -> context.state().budget(service.name()).tryAcquire(System.nanoTime()));
	}

	/**
	 * Start the first attempt and the time limit.
	 */
	final void start() {
		this.context.state().budget(this.service.name()).recordRequest(System.nanoTime());
		this.timer = this.context.vertx().setTimer(Math.max(1, remainingMillis()), (id) -> timedOut());
		this.context.crashGuard().track(this);
		attempt();
	}

	/**
	 * Start an attempt. No other attempt of the request is in progress.
	 */
	abstract void attempt();

	/**
	 * Cancel the calls to backend servers for this request and end the current attempt.
	 * @param reason the reason, for the log
	 */
	abstract void cancel(String reason);

	/**
	 * Cancel the request because the caller has closed its connection.
	 */
	final void callerDisconnected() {
		if (!this.done) {
			cancel("caller disconnected");
			finish("caller-gone", 0);
		}
	}

	/**
	 * End the request because this process exits. The caller receives a response rather
	 * than a closed connection.
	 */
	final void processExits() {
		if (this.done) {
			return;
		}
		cancel("process exits");
		if (this.attempts.giveUp() == NextStep.REFUSE) {
			refuse(ErrorKind.SHUTTING_DOWN, "this router exits before a server has started the request", 0);
		}
		else {
			fail(ErrorKind.TIMED_OUT, "this router exits before the response is complete");
		}
	}

	private void timedOut() {
		if (this.done) {
			return;
		}
		cancel("time limit exceeded");
		if (this.attempts.giveUp() == NextStep.REFUSE) {
			refuse(ErrorKind.DEADLINE, "no server started the request within its time limit", 0);
		}
		else {
			fail(ErrorKind.TIMED_OUT, "no complete response within the time limit");
		}
	}

	/**
	 * Refuse a request that has not run and will not run. If it may have run, fail it
	 * instead. If it needs a key that the configuration in force does not contain, that
	 * is reported in place of the given error.
	 * @param kind kind of the error
	 * @param detail what went wrong
	 * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0
	 * for the default
	 */
	final void refuse(ErrorKind kind, String detail, long retryAfterMillis) {
		if (this.attempts.giveUp() != NextStep.REFUSE) {
			fail(ErrorKind.SERVER_BROKE, detail);
			return;
		}
		if (!this.caller.allowed()) {
			this.context.metrics().count("keys_rejected_total", "withdrawn");
			send(Refusal.of(ErrorKind.UNKNOWN_KEY, Ran.NO, KEY_WITHDRAWN));
			return;
		}
		double spread = 1 + RETRY_SPREAD * ThreadLocalRandom.current().nextDouble();
		int millis = (int) (((retryAfterMillis > 0) ? retryAfterMillis : DEFAULT_RETRY_AFTER_MILLIS) * spread);
		send(Refusal.withRetry(kind, Ran.NO, detail, millis));
	}

	/**
	 * Fail a request that may have run.
	 * @param kind kind of the error
	 * @param detail what went wrong
	 */
	final void fail(ErrorKind kind, String detail) {
		send(Refusal.of(kind, Ran.UNKNOWN, detail));
	}

	@Override
	public final RequestTraits traits() {
		return this.traits;
	}

	@Override
	public final void quarantined() {
		// A stream that produces output does not crash its server.
		if (!this.done && !this.request.response().headWritten()) {
			cancel("quarantined");
			refuseIfQuarantined();
		}
	}

	/**
	 * End the request if it is quarantined, which may have happened since its start.
	 * @return true if the request has ended
	 */
	final boolean refuseIfQuarantined() {
		if (!this.done && this.context.crashGuard().isQuarantined(this.traits)) {
			send(Refusal.quarantined((this.attempts.giveUp() == NextStep.REFUSE) ? Ran.NO : Ran.UNKNOWN));
		}
		return this.done;
	}

	/**
	 * End the request if it needs a key that the configuration in force does not contain,
	 * which may have been applied since its start.
	 * @return true if the request has ended
	 */
	final boolean refuseIfKeyWithdrawn() {
		if (!this.done && !this.caller.allowed()) {
			refuse(ErrorKind.UNKNOWN_KEY, KEY_WITHDRAWN, 0);
		}
		return this.done;
	}

	/**
	 * Return whether an attempt ended without a fault of its server, because the caller's
	 * key was withdrawn before the request was sent.
	 * @param outcome outcome of the attempt
	 * @return true if the outcome says nothing about the server
	 */
	final boolean isWithdrawn(AttemptOutcome outcome) {
		return outcome instanceof AttemptOutcome.NotSent && !this.caller.allowed();
	}

	private void send(Refusal refusal) {
		if (finish(refusal.kind(), refusal.status())) {
			HttpServerResponse response = this.request.response();
			if (response.headWritten()) {
				// A reset shows the caller that the response is incomplete.
				response.reset();
				return;
			}
			closeIfDraining();
			refusal.sendWithFractionalRetryAfter(response);
		}
	}

	/**
	 * Write the status and the headers of a backend server's response to the caller's
	 * response.
	 * @param source response of the backend server
	 */
	final void sendHead(HttpClientResponse source) {
		HttpServerResponse response = this.request.response();
		response.setStatusCode(source.statusCode());
		ForwardedHeaders.copyEndToEnd(source.headers(), response.headers(), (name) -> !name.equals("content-length"));
		closeIfDraining();
	}

	private void closeIfDraining() {
		if (this.context.state().draining()) {
			this.request.response().putHeader("Connection", "close");
		}
	}

	/**
	 * Record the end of the request and stop its time limit.
	 * @param outcome outcome of the request
	 * @param status status of the response, 0 if there was none
	 * @return false if the request had already ended
	 */
	final boolean finish(String outcome, int status) {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.context.vertx().cancelTimer(this.timer);
		this.context.crashGuard().untrack(this);
		long tookNanos = System.nanoTime() - this.startNanos;
		this.context.metrics().count("requests_total", outcome);
		this.context.metrics().time("request_" + this.route.kind().name().toLowerCase(Locale.ROOT), tookNanos);
		log("request-ended", "outcome", outcome, "status", status, "took_millis", tookNanos / NANOS_PER_MILLI, "sent",
				this.attempts.sent(), "tried", this.attempts.tried().size());
		return true;
	}

	/**
	 * Log a decision about this request.
	 * @param event kind of the decision
	 * @param fields alternating names and values
	 */
	final void log(String event, Object... fields) {
		this.context.log().log(event, this.metadata.requestId(), this.caller.logFields(fields));
	}

	/**
	 * Log the choice of a server together with the age of the data on which it is based.
	 * @param event kind of the choice
	 * @param server the server
	 * @param detail reason for the choice
	 */
	final void logChoice(String event, ListedServer server, String detail) {
		log(event, "server", server.name(), "place", server.server().place(), "detail", detail, "route",
				this.route.name(), "configuration", this.context.state().configuration().orElseThrow().version(),
				"list_age_millis", this.context.state().serversAgeMillis(), "remaining_millis", remainingMillis());
	}

	/**
	 * Report a failed attempt to the crash guard if the connection was lost while the
	 * server ran the request.
	 * @param server the server
	 * @param outcome outcome of the attempt
	 * @param lastEventId id of the last event that the caller received, 0 if none
	 * @param serverEvents number of events that the server sent
	 * @param sentNanos start of the attempt on the monotonic clock
	 */
	final void recordBrokenAttempt(ListedServer server, AttemptOutcome outcome, long lastEventId, int serverEvents,
			long sentNanos) {
		if (outcome instanceof AttemptOutcome.Broken) {
			this.context.crashGuard()
				.recordLostConnection(new LostConnections.LostRequest(server, this.traits, lastEventId,
						serverEvents < CrashGuard.OUTPUT_EVENTS, sentNanos, System.nanoTime()));
		}
	}

	/**
	 * Record that a server completed the request, so it does not crash servers.
	 */
	final void recordCompletion() {
		this.context.crashGuard().recordCompletion(this.traits);
	}

	final long remainingMillis() {
		return (this.deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
	}

	final boolean hasTimeForAttempt() {
		return remainingMillis() > MIN_ATTEMPT_MILLIS;
	}

	final long startNanos() {
		return this.startNanos;
	}

	final boolean isDone() {
		return this.done;
	}

	final ForwardingContext context() {
		return this.context;
	}

	final HttpServerRequest request() {
		return this.request;
	}

	final RequestMetadata metadata() {
		return this.metadata;
	}

	final ForwardingRoute route() {
		return this.route;
	}

	final ForwardedService service() {
		return this.service;
	}

	final RequestCaller caller() {
		return this.caller;
	}

	final Buffer body() {
		return this.body;
	}

	final RequestAttempts attempts() {
		return this.attempts;
	}

}
