package io.balsamlane.core.records;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;

/**
 * Decides in the entry router whether a copy of a call may be dispatched. Copies are
 * requests for the same call; each of them is decided once. Not thread-safe.
 * <p>
 * Permission to dispatch expires after a window that is shorter than the retention of
 * records: a process that was paused between intent and dispatch must not dispatch a call
 * whose record has expired.
 */
public final class DispatchGate {

	private final long startNanos;

	private final long windowNanos;

	private boolean decided;

	private boolean intentPossible;

	private DispatchGate(long startNanos, long windowNanos) {
		this.startNanos = startNanos;
		this.windowNanos = windowNanos;
	}

	/**
	 * Create the gate of one copy.
	 * @param startNanos the monotonic time before the first intent was sent, in
	 * nanoseconds
	 * @param windowNanos time within which the copy may be dispatched, in nanoseconds
	 * @return the gate
	 */
	public static DispatchGate create(long startNanos, long windowNanos) {
		return new DispatchGate(startNanos, windowNanos);
	}

	/**
	 * Decide on a reply of the shard writer.
	 * @param reply the reply
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the decision, {@link Decision.Ignore} once the copy has been decided
	 */
	public Decision decide(IntentReply reply, long nowNanos) {
		if (this.decided) {
			return new Decision.Ignore();
		}
		if (reply.getResult() == IntentReply.Result.NOT_OWNER) {
			// A writer that has released the shard may still have a write in progress.
			this.intentPossible = true;
			return expired(nowNanos) ? abandon(reply.getReason()) : new Decision.Retry();
		}
		this.decided = true;
		return switch (reply.getResult()) {
			case CREATED ->
				expired(nowNanos) ? new Decision.NotRun(true, false, "the right to run the call has expired")
						: new Decision.Dispatch();
			case EXISTS -> new Decision.Replay(reply.getRecord(), this.intentPossible);
			case REFUSED -> new Decision.NotRun(this.intentPossible, reply.getOtherRunPossible(), reply.getReason());
			default -> new Decision.NotRun(true, reply.getOtherRunPossible(), reply.getReason());
		};
	}

	/**
	 * Decide how to continue after a request to which no writer replied.
	 * @param mayHaveArrived false if the request certainly did not reach a writer
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the decision to retry or not to run the copy, {@link Decision.Ignore} once
	 * it has been decided
	 */
	public Decision handleNoReply(boolean mayHaveArrived, long nowNanos) {
		this.intentPossible |= mayHaveArrived;
		if (this.decided) {
			return new Decision.Ignore();
		}
		return expired(nowNanos) ? abandon("no owner of the call's record answered") : new Decision.Retry();
	}

	private Decision abandon(String reason) {
		this.decided = true;
		return new Decision.NotRun(this.intentPossible, true, reason);
	}

	private boolean expired(long nowNanos) {
		return nowNanos - this.startNanos >= this.windowNanos;
	}

	/**
	 * The next step of the entry router.
	 */
	public sealed interface Decision {

		/** Dispatch the call, exactly once. */
		record Dispatch() implements Decision {
		}

		/** Send the intent to the current owner again, with the same nonce. */
		record Retry() implements Decision {
		}

		/** Do nothing, because the copy has already been decided. */
		record Ignore() implements Decision {
		}

		/**
		 * Answer from the record of another copy.
		 *
		 * @param record the record
		 * @param report true if an earlier request of this copy has no answer and may
		 * still create an intent, so that the outcome NOT_RUN must be recorded
		 */
		record Replay(CallRecord record, boolean report) implements Decision {
		}

		/**
		 * Do not dispatch this copy.
		 *
		 * @param report true if an intent of this copy may exist, so that the outcome
		 * NOT_RUN must be recorded before a later copy can run
		 * @param otherRunPossible true if another copy may have run
		 * @param reason why the copy is not dispatched
		 */
		record NotRun(boolean report, boolean otherRunPossible, String reason) implements Decision {
		}

	}

}
