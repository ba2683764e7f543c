package io.balsamlane.core.records;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;

/**
 * Decides in the entry router, once for each copy of a call, whether that copy may be
 * dispatched. Not safe for use by several threads.
 * <p>
 * The right to dispatch ends after a window that is shorter than the retention of
 * records: a process that was paused between intent and dispatch must not dispatch a call
 * whose record has expired.
 */
public final class DispatchGate {

	private final long startNanos;

	private final long windowNanos;

	private boolean decided;

	private boolean lost;

	private DispatchGate(long startNanos, long windowNanos) {
		this.startNanos = startNanos;
		this.windowNanos = windowNanos;
	}

	/**
	 * Creates the gate of one copy.
	 * @param startNanos the monotonic time before the first intent was sent
	 * @param windowNanos time in which the copy may be dispatched
	 * @return the gate
	 */
	public static DispatchGate create(long startNanos, long windowNanos) {
		return new DispatchGate(startNanos, windowNanos);
	}

	/**
	 * Decides on an answer of the writer.
	 * @param reply the answer
	 * @param nowNanos the monotonic time
	 * @return the decision; only the first one counts
	 */
	public Decision decide(IntentReply reply, long nowNanos) {
		if (this.decided) {
			return new Decision.Ignore();
		}
		if (reply.getResult() == IntentReply.Result.NOT_OWNER) {
			// A writer that gave the shard up may have a write in progress.
			this.lost = true;
			return expired(nowNanos) ? giveUp(reply.getReason()) : new Decision.AskAgain();
		}
		this.decided = true;
		return switch (reply.getResult()) {
			case CREATED ->
				expired(nowNanos) ? new Decision.NotRun(true, false, "the right to run the call has expired")
						: new Decision.Dispatch();
			case EXISTS -> new Decision.Replay(reply.getRecord(), this.lost);
			case REFUSED -> new Decision.NotRun(this.lost, reply.getOtherRunPossible(), reply.getReason());
			default -> new Decision.NotRun(true, reply.getOtherRunPossible(), reply.getReason());
		};
	}

	/**
	 * Decides that no writer answered.
	 * @param mayHaveArrived false if the request certainly did not reach a writer
	 * @param nowNanos the monotonic time
	 * @return whether to ask again or to give up
	 */
	public Decision unanswered(boolean mayHaveArrived, long nowNanos) {
		this.lost |= mayHaveArrived;
		if (this.decided) {
			return new Decision.Ignore();
		}
		return expired(nowNanos) ? giveUp("no owner of the call's record answered") : new Decision.AskAgain();
	}

	private Decision giveUp(String reason) {
		this.decided = true;
		return new Decision.NotRun(this.lost, true, reason);
	}

	private boolean expired(long nowNanos) {
		return nowNanos - this.startNanos >= this.windowNanos;
	}

	/**
	 * What the entry router does.
	 */
	public sealed interface Decision {

		/** Dispatches the call, once. */
		record Dispatch() implements Decision {
		}

		/** Asks the present owner again, with the same nonce. */
		record AskAgain() implements Decision {
		}

		/** Does nothing: the copy has been decided on. */
		record Ignore() implements Decision {
		}

		/**
		 * Answers from the record of another copy.
		 *
		 * @param record the record
		 * @param report true if an earlier request of this copy is unanswered and may yet
		 * create an intent, so that the outcome NOT_RUN must be recorded
		 */
		record Replay(CallRecord record, boolean report) implements Decision {
		}

		/**
		 * Never dispatches this copy.
		 *
		 * @param report true if an intent of this copy may exist, so that the outcome
		 * NOT_RUN must be recorded before a later copy can run
		 * @param otherRunPossible true if another copy may have run
		 * @param reason the reason
		 */
		record NotRun(boolean report, boolean otherRunPossible, String reason) implements Decision {
		}

	}

}
