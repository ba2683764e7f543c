package io.balsamlane.core.forwarding;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.model.ServerName;

/**
 * The attempts of one request: decides after each whether the request may be sent to
 * another server, and whether the caller may be told that it has not run. Not safe for
 * use by several threads.
 */
public final class RequestAttempts {

	/**
	 * Connections that one request may fail to open; they reach no server, so the route's
	 * bound does not cover them. Three covers a place with one dead and one full server.
	 */
	private static final int MAX_UNSENT = 3;

	private static final int SERVER_ERROR = 500;

	private final RequestKind kind;

	private final int maxAttempts;

	private final BooleanSupplier budget;

	private final Set<ServerName> tried = new HashSet<>();

	private int sent;

	private int unsent;

	private boolean mayHaveRun;

	private boolean open;

	private RequestAttempts(RequestKind kind, int maxAttempts, BooleanSupplier budget) {
		this.kind = Objects.requireNonNull(kind, "kind");
		this.maxAttempts = maxAttempts;
		this.budget = Objects.requireNonNull(budget, "budget");
	}

	/**
	 * Creates the record of a request that has not been sent.
	 * @param kind what may be repeated
	 * @param maxAttempts most servers to which the request may be sent
	 * @param budget takes one repeated request out of the retry budget; false if it is
	 * used up
	 * @return the attempts
	 */
	public static RequestAttempts create(RequestKind kind, int maxAttempts, BooleanSupplier budget) {
		return new RequestAttempts(kind, maxAttempts, budget);
	}

	/**
	 * Notes that an attempt starts.
	 * @param server the server
	 */
	public void started(ServerName server) {
		if (this.open) {
			throw new IllegalStateException("The attempt before has not ended");
		}
		this.open = true;
		this.tried.add(server);
	}

	/**
	 * Decides what follows the end of the present attempt.
	 * @param outcome how it ended
	 * @param timeLeft true if another attempt can still be on time for the caller
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
		this.sent++;
		if (outcome instanceof AttemptOutcome.Answered answered) {
			this.mayHaveRun = true;
			boolean failed = answered.status() >= SERVER_ERROR && this.kind == RequestKind.IDEMPOTENT;
			return (failed && mayRepeat(timeLeft)) ? NextStep.TRY_AGAIN : NextStep.RELAY;
		}
		if (outcome instanceof AttemptOutcome.Broken) {
			this.mayHaveRun = true;
			return (this.kind.repeatable() && mayRepeat(timeLeft)) ? NextStep.TRY_AGAIN : NextStep.FAIL;
		}
		return mayRepeat(timeLeft) ? NextStep.TRY_AGAIN : giveUp();
	}

	private boolean mayRepeat(boolean timeLeft) {
		return timeLeft && this.sent < this.maxAttempts && this.budget.getAsBoolean();
	}

	/**
	 * Decides how a request ends for which no server can be found or no time is left.
	 * @return {@link NextStep#REFUSE} if it cannot have run, else {@link NextStep#FAIL}
	 */
	public NextStep giveUp() {
		return (this.mayHaveRun || this.open) ? NextStep.FAIL : NextStep.REFUSE;
	}

	/**
	 * Tells whether the present attempt may be given up for another one.
	 * @return true if a second run is harmless and an attempt is left after this one
	 */
	public boolean mayMove() {
		return this.open && this.kind.repeatable() && this.sent + 1 < this.maxAttempts;
	}

	/**
	 * Returns the servers that attempts were made at.
	 * @return a copy of the names
	 */
	public Set<ServerName> tried() {
		return Set.copyOf(this.tried);
	}

	/**
	 * Returns how often the request reached a server, or may have.
	 * @return the number of attempts that were sent
	 */
	public int sent() {
		return this.sent;
	}

}
