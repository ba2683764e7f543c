package io.balsamlane.core.forwarding;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.model.ServerName;

/**
 * Tracks the attempts of one request. Decides after each attempt whether the request may
 * be sent to another server, and whether the caller may be told that the request has not
 * run. Not thread-safe.
 */
public final class RequestAttempts {

	/**
	 * Maximum number of failed connections per request. They reach no server, so the
	 * route's maximum number of attempts does not cover them. Three covers a place with
	 * one dead and one full server.
	 */
	private static final int MAX_UNSENT = 3;

	/**
	 * Maximum number of further servers to which a request is sent that was rejected
	 * without running. Bounds the load that rejected requests add to a full service.
	 */
	private static final int MAX_RETRIES_AFTER_REJECTION = 2;

	private static final int SERVER_ERROR = 500;

	private final RequestKind kind;

	private final int maxAttempts;

	private final BooleanSupplier budget;

	private final Set<ServerName> tried = new HashSet<>();

	private int ran;

	private int rejected;

	private int unsent;

	private boolean open;

	private RequestAttempts(RequestKind kind, int maxAttempts, BooleanSupplier budget) {
		this.kind = Objects.requireNonNull(kind, "kind");
		this.maxAttempts = maxAttempts;
		this.budget = Objects.requireNonNull(budget, "budget");
	}

	/**
	 * Create the state of a request that has not been sent.
	 * @param kind whether the request may be retried
	 * @param maxAttempts maximum number of servers on which the request may run
	 * @param budget acquires one retry from the retry budget; returns false if it is
	 * exhausted
	 * @return the new instance
	 */
	public static RequestAttempts create(RequestKind kind, int maxAttempts, BooleanSupplier budget) {
		return new RequestAttempts(kind, maxAttempts, budget);
	}

	/**
	 * Record the start of an attempt.
	 * @param server the server
	 */
	public void started(ServerName server) {
		if (this.open) {
			throw new IllegalStateException("The previous attempt has not ended");
		}
		this.open = true;
		this.tried.add(server);
	}

	/**
	 * Record the end of the current attempt and decide on the next step.
	 * @param outcome the outcome of the attempt
	 * @param timeLeft true if another attempt can still complete before the caller's
	 * deadline
	 * @return the next step
	 */
	public NextStep ended(AttemptOutcome outcome, boolean timeLeft) {
		if (!this.open) {
			throw new IllegalStateException("No attempt is in progress");
		}
		this.open = false;
		if (outcome instanceof AttemptOutcome.NotSent) {
			this.unsent++;
			return (timeLeft && this.unsent < MAX_UNSENT) ? NextStep.TRY_AGAIN : giveUp();
		}
		if (outcome instanceof AttemptOutcome.NotRun) {
			this.rejected++;
			return mayRepeat(timeLeft) ? NextStep.TRY_AGAIN : giveUp();
		}
		this.ran++;
		if (outcome instanceof AttemptOutcome.Answered answered) {
			boolean failed = answered.status() >= SERVER_ERROR && this.kind == RequestKind.IDEMPOTENT;
			return (failed && mayRepeat(timeLeft)) ? NextStep.TRY_AGAIN : NextStep.RELAY;
		}
		return (this.kind.repeatable() && mayRepeat(timeLeft)) ? NextStep.TRY_AGAIN : NextStep.FAIL;
	}

	// Servers that rejected the request have not run it and do not count as attempts.
	private boolean mayRepeat(boolean timeLeft) {
		return timeLeft && this.ran < this.maxAttempts && this.rejected <= MAX_RETRIES_AFTER_REJECTION
				&& this.budget.getAsBoolean();
	}

	/**
	 * Return the final step of a request for which no server is available or no time is
	 * left.
	 * @return {@link NextStep#REFUSE} if it cannot have run, else {@link NextStep#FAIL}
	 */
	public NextStep giveUp() {
		return (this.ran > 0 || this.open) ? NextStep.FAIL : NextStep.REFUSE;
	}

	/**
	 * Return whether the current attempt may be abandoned in favour of another server.
	 * @return true if the request may be retried and an attempt remains after this one
	 */
	public boolean mayFailOver() {
		return this.open && this.kind.repeatable() && this.ran + 1 < this.maxAttempts;
	}

	/**
	 * Return the servers on which an attempt was started.
	 * @return a copy of the names
	 */
	public Set<ServerName> tried() {
		return Set.copyOf(this.tried);
	}

	/**
	 * Return the number of attempts that reached a server or may have reached one.
	 * @return the number of attempts
	 */
	public int sent() {
		return this.ran + this.rejected;
	}

}
