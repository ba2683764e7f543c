package io.balsamlane.core.records;

import java.util.Optional;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordState;

/**
 * State transitions of call records.
 * <p>
 * A record changes only from INTENT to an outcome and from NOT_RUN to the intent of
 * another copy; COMPLETED and UNKNOWN are final. A reply that is based on an old state of
 * the register may therefore be late but is never wrong.
 */
final class RecordRules {

	private RecordRules() {
	}

	/**
	 * Reply to an operation from committed records.
	 * @param operation the operation
	 * @param present the committed record, null if there is none
	 * @param waitExpired true if a later copy no longer waits for the outcome of an
	 * earlier one
	 * @return the reply, empty if the operation needs a commit or still waits
	 */
	static Optional<IntentReply> resolve(PendingOperation operation, CallRecord present, boolean waitExpired) {
		if (present == null) {
			return Optional.empty();
		}
		return operation.intent() ? resolveIntent(operation, present, waitExpired) : resolveOutcome(operation, present);
	}

	private static Optional<IntentReply> resolveIntent(PendingOperation operation, CallRecord present,
			boolean waitExpired) {
		boolean own = operation.sameDispatcher(present);
		if (present.getState() == RecordState.NOT_RUN) {
			// The dispatcher has abandoned this attempt. A delayed message must not
			// create its intent again.
			return own ? Optional.of(refused("this attempt was given up", false)) : Optional.empty();
		}
		if (present.getState() == RecordState.INTENT) {
			if (own) {
				return Optional.of(reply(IntentReply.Result.CREATED, present));
			}
			boolean otherCall = !present.getCallHash().equals(operation.record().getCallHash());
			return (otherCall || waitExpired) ? Optional.of(reply(IntentReply.Result.EXISTS, present))
					: Optional.empty();
		}
		return Optional.of(reply(IntentReply.Result.EXISTS, present));
	}

	private static Optional<IntentReply> resolveOutcome(PendingOperation operation, CallRecord present) {
		boolean own = operation.sameDispatcher(present);
		boolean replaces = own ? present.getState() == RecordState.INTENT : present.getState() == RecordState.NOT_RUN;
		return replaces ? Optional.empty() : Optional.of(reply(IntentReply.Result.EXISTS, present));
	}

	/**
	 * Return whether a commit must store the operation's record in place of the current
	 * one. The outcome NOT_RUN is stored even if there is no intent: the commit raises
	 * the version of the register, so that a delayed write of that intent can no longer
	 * take effect.
	 * @param operation the operation
	 * @param present the record in the draft, null if there is none
	 * @return true if the record must be stored
	 */
	static boolean requiresWrite(PendingOperation operation, CallRecord present) {
		if (present == null) {
			return true;
		}
		boolean own = operation.sameDispatcher(present);
		if (operation.intent()) {
			return present.getState() == RecordState.NOT_RUN && !own;
		}
		return own ? present.getState() == RecordState.INTENT : present.getState() == RecordState.NOT_RUN;
	}

	static IntentReply refused(String reason, boolean otherRunPossible) {
		return IntentReply.newBuilder()
			.setResult(IntentReply.Result.REFUSED)
			.setReason(reason)
			.setOtherRunPossible(otherRunPossible)
			.build();
	}

	static IntentReply undecided(String reason, boolean otherRunPossible) {
		return refused(reason, otherRunPossible).toBuilder().setResult(IntentReply.Result.UNDECIDED).build();
	}

	static IntentReply notOwner() {
		return IntentReply.newBuilder()
			.setResult(IntentReply.Result.NOT_OWNER)
			.setReason("this router does not own the shard")
			.setOtherRunPossible(true)
			.build();
	}

	private static IntentReply reply(IntentReply.Result result, CallRecord record) {
		return IntentReply.newBuilder().setResult(result).setRecord(record).build();
	}

}
