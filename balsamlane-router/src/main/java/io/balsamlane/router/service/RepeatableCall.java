package io.balsamlane.router.service;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.balsamlane.router.service.ServiceAttempt.Result;
import io.vertx.core.Vertx;

/**
 * Handles a call that may run more than once. It is retried within its deadline and the
 * retry budget, and hedged if the service allows it.
 */
final class RepeatableCall {

	private static final int RETRY_AFTER_MILLIS = 1000;

	private final Vertx vertx;

	private final ReplicaTable replicas;

	private final ReplicaClient client;

	private final ServiceCall call;

	private final boolean hedged;

	private final long deadlineNanos;

	private final Set<BackendServer> tried = new HashSet<>();

	private final List<ServiceAttempt> activeAttempts = new CopyOnWriteArrayList<>();

	private boolean mayHaveRun;

	private boolean secondRound;

	private boolean done;

	private long timer;

	RepeatableCall(Vertx vertx, ReplicaTable replicas, ReplicaClient client, ServiceCall call, boolean hedged,
			long timeoutMillis) {
		this.vertx = vertx;
		this.replicas = replicas;
		this.client = client;
		this.call = call;
		this.hedged = hedged;
		this.deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
		this.timer = vertx.setTimer(timeoutMillis, (id) -> timedOut());
	}

	void start() {
		this.replicas.recordRequest(this.call.service());
		this.call.request().response().closeHandler((closed) -> finish());
		if (attempt(!this.hedged) && this.hedged && this.call.body().complete()) {
			this.replicas.hedgeDelayNanos(this.call.service())
				.ifPresent((nanos) -> this.vertx.setTimer(Math.max(1, nanos / 1_000_000), (id) -> hedge()));
		}
	}

	private void hedge() {
		if (!this.done && this.activeAttempts.size() == 1 && this.call.route().replicas().size() > this.tried.size()
				&& this.replicas.tryAcquireHedge(this.call.service())) {
			attempt(false);
		}
	}

	private boolean attempt(boolean mayProbe) {
		Optional<ReplicaTable.Reservation> reservation = this.replicas.choose(this.call.route(), this.tried, mayProbe);
		if (reservation.isEmpty() && !this.secondRound) {
			// Each replica may be tried twice, because the first attempt may have used a
			// stale pooled connection.
			this.secondRound = true;
			this.tried.clear();
			reservation = this.replicas.choose(this.call.route(), this.tried, false);
		}
		if (reservation.isEmpty()) {
			refuse("no-replica", "no replica of " + this.call.service() + " accepts new calls");
			return false;
		}
		this.tried.add(reservation.get().server());
		ServiceAttempt[] current = new ServiceAttempt[1];
		current[0] = new ServiceAttempt(this.replicas, this.client, reservation.get(),
				(result) -> handleResult(current[0], result));
		this.activeAttempts.add(current[0]);
		current[0].start(this.call.request(), this.call.requestId(), this.call.uri(), this.call.body());
		return true;
	}

	private void handleResult(ServiceAttempt attempt, Result result) {
		this.activeAttempts.remove(attempt);
		if (this.done) {
			return;
		}
		if (result instanceof Result.Answered answered) {
			finish();
			ResponseRelay.relay(answered.response(), this.call.request().response(), 0)
				.onSuccess((stored) -> this.replicas.recordSuccess(attempt.reservation()))
				.onFailure((cause) -> this.replicas.recordFailure(attempt.reservation()));
			return;
		}
		boolean sent = result instanceof Result.Failed failed && failed.sent();
		this.mayHaveRun |= sent;
		if (!this.activeAttempts.isEmpty()) {
			return;
		}
		boolean retry = this.call.body().repeatable() && System.nanoTime() - this.deadlineNanos < 0
				&& (!sent || this.replicas.tryAcquireRetry(this.call.service()));
		if (retry) {
			attempt(false);
		}
		else {
			refuse("server-failed", "the backend server closed the connection or made no progress");
		}
	}

	private void timedOut() {
		if (!this.done) {
			this.mayHaveRun |= !this.activeAttempts.isEmpty();
			refuse("deadline-exceeded", "no replica of " + this.call.service() + " answered before the deadline");
		}
	}

	private void refuse(String kind, String detail) {
		finish();
		this.call.body().discard();
		Refusal
			.withRetry(this.mayHaveRun ? 502 : 503, kind, this.mayHaveRun ? Ran.UNKNOWN : Ran.NO, detail,
					RETRY_AFTER_MILLIS)
			.send(this.call.request().response());
	}

	private void finish() {
		this.done = true;
		this.vertx.cancelTimer(this.timer);
		this.activeAttempts.forEach(ServiceAttempt::abandon);
		this.activeAttempts.clear();
	}

}
