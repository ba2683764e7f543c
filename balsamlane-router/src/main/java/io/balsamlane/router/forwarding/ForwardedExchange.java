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
 * One request of a caller: its time limit, its attempts, and its single final answer.
 */
abstract class ForwardedExchange {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Shortest time in which another attempt makes sense: two round trips between
	 * regions.
	 */
	private static final long MIN_ATTEMPT_MILLIS = 80;

	/** A server that is full is asked again after about the time of a few requests. */
	private static final int RETRY_AFTER_MILLIS = 300;

	/** Spreads callers who were refused together. */
	private static final double RETRY_SPREAD = 0.5;

	private final ForwardingParts parts;

	private final HttpServerRequest request;

	private final RequestMetadata facts;

	private final ForwardingRoute route;

	private final ForwardedService service;

	private final Buffer body;

	private final RequestAttempts attempts;

	private final long fingerprint;

	private final long startNanos;

	private final long deadlineNanos;

	private long timer = -1;

	private boolean done;

	ForwardedExchange(ForwardingParts parts, HttpServerRequest request, RequestMetadata facts, ForwardingRoute route,
			ForwardedService service, Buffer body, long startNanos) {
		this.parts = parts;
		this.request = request;
		this.facts = facts;
		this.route = route;
		this.service = service;
		this.body = body;
		this.fingerprint = CrashGuard.fingerprint(request, body);
		this.startNanos = startNanos;
		long limitMillis = (facts.deadlineMillis() > 0) ? Math.min(facts.deadlineMillis(), route.timeoutMillis())
				: route.timeoutMillis();
		this.deadlineNanos = startNanos + limitMillis * NANOS_PER_MILLI;
		this.attempts = RequestAttempts.create(route.kind(), route.maxAttempts(),
				() -> parts.state().budget(service.name()).tryAcquire(System.nanoTime()));
	}

	/**
	 * Starts the first attempt.
	 */
	final void start() {
		this.parts.state().budget(this.service.name()).recordRequest(System.nanoTime());
		this.timer = this.parts.vertx().setTimer(Math.max(1, remainingMillis()), (id) -> timedOut());
		attempt();
	}

	/**
	 * Starts an attempt; the request is in no other.
	 */
	abstract void attempt();

	/**
	 * Ends what runs at servers for this request, and the present attempt.
	 * @param reason why, for the log
	 */
	abstract void cancel(String reason);

	/**
	 * Notes that the caller has closed its connection.
	 */
	final void callerGone() {
		if (!this.done) {
			cancel("caller gone");
			finish("caller-gone", 0);
		}
	}

	private void timedOut() {
		if (this.done) {
			return;
		}
		cancel("time limit");
		if (this.attempts.giveUp() == NextStep.REFUSE) {
			refuse(ErrorKind.DEADLINE, "no server began the request within its time limit", 0);
		}
		else {
			fail(ErrorKind.TIMED_OUT, "no whole answer within the time limit");
		}
	}

	/**
	 * Ends the request as one that has not run and never will.
	 * @param kind kind of the error
	 * @param detail what went wrong
	 * @param retryAfterMillis time after which to come back; 0 for the usual time
	 */
	final void refuse(ErrorKind kind, String detail, long retryAfterMillis) {
		if (this.attempts.giveUp() != NextStep.REFUSE) {
			fail(ErrorKind.SERVER_BROKE, detail);
			return;
		}
		double spread = 1 + RETRY_SPREAD * ThreadLocalRandom.current().nextDouble();
		int millis = (int) (((retryAfterMillis > 0) ? retryAfterMillis : RETRY_AFTER_MILLIS) * spread);
		send(Refusal.withRetry(kind, Ran.NO, detail, millis));
	}

	/**
	 * Ends the request as one that may have run.
	 * @param kind kind of the error
	 * @param detail what went wrong
	 */
	final void fail(ErrorKind kind, String detail) {
		send(Refusal.of(kind, Ran.UNKNOWN, detail));
	}

	private void send(Refusal refusal) {
		if (finish(refusal.kind(), refusal.status())) {
			HttpServerResponse response = this.request.response();
			if (response.headWritten()) {
				// The caller must see that the answer is not complete.
				response.reset();
				return;
			}
			closeIfDraining();
			refusal.sendWithFractionalRetryAfter(response);
		}
	}

	/**
	 * Sends the head of a server's answer.
	 * @param answer the answer
	 */
	final void sendHead(HttpClientResponse answer) {
		HttpServerResponse response = this.request.response();
		response.setStatusCode(answer.statusCode());
		ForwardedHeaders.copyEndToEnd(answer.headers(), response.headers(), (name) -> !name.equals("content-length"));
		closeIfDraining();
	}

	private void closeIfDraining() {
		if (this.parts.state().draining()) {
			this.request.response().putHeader("Connection", "close");
		}
	}

	/**
	 * Notes the end of the request and stops its time limit.
	 * @param outcome how it ended
	 * @param status status of the answer, 0 if there was none
	 * @return false if it had ended before
	 */
	final boolean finish(String outcome, int status) {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.parts.vertx().cancelTimer(this.timer);
		long tookNanos = System.nanoTime() - this.startNanos;
		this.parts.metrics().count("requests_total", outcome);
		this.parts.metrics().time("request_" + this.route.kind().name().toLowerCase(Locale.ROOT), tookNanos);
		log("request-ended", "outcome", outcome, "status", status, "took_millis", tookNanos / NANOS_PER_MILLI, "sent",
				this.attempts.sent(), "tried", this.attempts.tried().size());
		return true;
	}

	/**
	 * Logs a decision about this request.
	 * @param event kind of the decision
	 * @param fields names and values in turn
	 */
	final void log(String event, Object... fields) {
		this.parts.log().log(event, this.facts.requestId(), fields);
	}

	/**
	 * Logs the choice of a server with the age of what decided it.
	 * @param event kind of the choice
	 * @param server the server
	 * @param detail what decided it
	 */
	final void logChoice(String event, ListedServer server, String detail) {
		log(event, "server", server.name(), "place", server.server().place(), "detail", detail, "route",
				this.route.name(), "configuration", this.parts.state().configuration().orElseThrow().version(),
				"list_age_millis", this.parts.state().serversAgeMillis(), "remaining_millis", remainingMillis());
	}

	/**
	 * Notes that a connection broke while a server ran the request.
	 * @param server the server
	 * @param outcome how the attempt ended
	 * @param lastEventId last event that the server sent, 0 if none
	 */
	final void suspect(ListedServer server, AttemptOutcome outcome, long lastEventId) {
		if (outcome instanceof AttemptOutcome.Broken) {
			this.parts.crashes().broke(server, this.fingerprint, lastEventId);
		}
	}

	/**
	 * Notes that a server ran the request to its end.
	 */
	final void cleared() {
		this.parts.crashes().completed(this.fingerprint);
	}

	final long remainingMillis() {
		return (this.deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
	}

	final boolean timeLeft() {
		return remainingMillis() > MIN_ATTEMPT_MILLIS;
	}

	final long startNanos() {
		return this.startNanos;
	}

	final boolean isDone() {
		return this.done;
	}

	final ForwardingParts parts() {
		return this.parts;
	}

	final HttpServerRequest request() {
		return this.request;
	}

	final RequestMetadata facts() {
		return this.facts;
	}

	final ForwardingRoute route() {
		return this.route;
	}

	final ForwardedService service() {
		return this.service;
	}

	final Buffer body() {
		return this.body;
	}

	final RequestAttempts attempts() {
		return this.attempts;
	}

}
