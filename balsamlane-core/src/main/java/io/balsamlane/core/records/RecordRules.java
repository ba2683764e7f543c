package io.balsamlane.core.records;

import java.util.Optional;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordState;

/**
 * What an operation means for the record that is present.
 * <p>
 * A record changes only from INTENT to an outcome and from NOT_RUN to the intent of
 * another copy; COMPLETED and UNKNOWN are final. An answer that is taken from an old
 * state of the register is therefore late at worst, never wrong.
 */
final class RecordRules {

	private RecordRules() {
	}

	/**
	 * Answers an operation from committed records.
	 * @param operation the operation
	 * @param present the committed record, null if there is none
	 * @param waitNoLonger true if a copy no longer waits for an outcome
	 * @return the answer, empty if the operation needs a commit or still waits
	 */
	static Optional<IntentReply> settle(OpenOperation operation, CallRecord present, boolean waitNoLonger) {
		if (present == null) {
			return Optional.empty();
		}
		return operation.intent() ? settleIntent(operation, present, waitNoLonger) : settleOutcome(operation, present);
	}

	private static Optional<IntentReply> settleIntent(OpenOperation operation, CallRecord present,
			boolean waitNoLonger) {
		boolean own = operation.sameDispatcher(present);
		if (present.getState() == RecordState.NOT_RUN) {
			// The dispatcher gave this attempt up; a late message must not revive it.
			return own ? Optional.of(refused("this attempt was given up", false)) : Optional.empty();
		}
		if (present.getState() == RecordState.INTENT) {
			if (own) {
				return Optional.of(reply(IntentReply.Result.CREATED, present));
			}
			boolean otherCall = !present.getCallHash().equals(operation.record().getCallHash());
			return (otherCall || waitNoLonger) ? Optional.of(reply(IntentReply.Result.EXISTS, present))
					: Optional.empty();
		}
		return Optional.of(reply(IntentReply.Result.EXISTS, present));
	}

	private static Optional<IntentReply> settleOutcome(OpenOperation operation, CallRecord present) {
		boolean own = operation.sameDispatcher(present);
		boolean replaces = own ? present.getState() == RecordState.INTENT : present.getState() == RecordState.NOT_RUN;
		return replaces ? Optional.empty() : Optional.of(reply(IntentReply.Result.EXISTS, present));
	}

	/**
	 * Tells whether a commit must store the operation's record in place of the present
	 * one. The outcome NOT_RUN is stored even without an intent: the commit makes a
	 * delayed write of that intent impossible, because it raises the version.
	 * @param operation the operation
	 * @param present the record in the draft, null if there is none
	 * @return true if the record is to be stored
	 */
	static boolean stores(OpenOperation operation, CallRecord present) {
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
