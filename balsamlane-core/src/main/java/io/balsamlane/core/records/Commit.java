package io.balsamlane.core.records;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.RecordArchive;

/**
 * A group commit: the new contents of the register and the operations that it stores.
 *
 * @param id unique id, stored in the register, by which the writer recognizes a commit
 * that took effect
 * @param draft the new contents of the register
 * @param archive the archive that the draft newly references, null if none
 * @param operations the operations that the draft stores
 */
record Commit(String id, RegisterState draft, RecordArchive archive, List<PendingOperation> operations) {

	/**
	 * Plan a commit of all pending operations.
	 * @param id unique id
	 * @param committed the current contents of the register
	 * @param pending the pending operations
	 * @param archive an archive that the store holds and the register does not reference
	 * yet, null if none
	 * @param limits size limits and retention
	 * @param epochMillis the wall clock time, in milliseconds
	 * @param rejected receives the intents for which the register has no space
	 * @return the commit, whose draft may be unchanged
	 */
	static Commit plan(String id, RegisterState committed, Collection<PendingOperation> pending, RecordArchive archive,
			ShardLimits limits, long epochMillis, Consumer<PendingOperation> rejected) {
		RegisterState draft = committed.draft();
		draft.trim(epochMillis - limits.retentionMillis());
		List<PendingOperation> stored = new ArrayList<>();
		for (PendingOperation operation : pending) {
			CallRecord present = draft.get(operation.record().getKeyHash());
			if (!RecordRules.requiresWrite(operation, present)) {
				continue;
			}
			// The last quarter of the register is reserved for outcomes of calls that
			// have already run.
			if (operation.intent() && draft.bytes() > limits.maxRegisterBytes() / 4 * 3) {
				rejected.accept(operation);
				continue;
			}
			draft.put(withChangeTime(operation.record(), draft, limits, epochMillis));
			stored.add(operation);
		}
		if (archive != null) {
			draft.addArchive(archive);
		}
		return new Commit(id, draft, archive, stored);
	}

	private static CallRecord withChangeTime(CallRecord record, RegisterState draft, ShardLimits limits,
			long epochMillis) {
		CallRecord.Builder stamped = record.toBuilder().setChangedEpochMillis(epochMillis);
		int bodyBytes = record.getAnswer().getBody().size();
		if (bodyBytes > 0 && draft.bytes() + bodyBytes > limits.maxRegisterBytes() / 8 * 7) {
			stamped.getAnswerBuilder().clearBody().setBodyOmitted(true);
		}
		return stamped.build();
	}

}
