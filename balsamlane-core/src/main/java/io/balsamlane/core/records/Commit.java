package io.balsamlane.core.records;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.RecordArchive;

/**
 * One group commit: the draft of the register and the operations that it stores.
 *
 * @param id unique id, found in the register if the commit took effect
 * @param draft the register's new contents
 * @param archive the archive that the draft names for the first time, null if none
 * @param operations the operations that the draft stores
 */
record Commit(String id, ShardImage draft, RecordArchive archive, List<OpenOperation> operations) {

	/**
	 * Plans a commit of all waiting operations.
	 * @param id unique id
	 * @param committed the present contents
	 * @param open the waiting operations
	 * @param archive an archive that the store holds and the register does not name yet,
	 * null if none
	 * @param limits sizes and retention
	 * @param epochMillis the wall clock
	 * @param full receives intents that find no space
	 * @return the commit; its draft may be unchanged
	 */
	static Commit plan(String id, ShardImage committed, Collection<OpenOperation> open, RecordArchive archive,
			ShardLimits limits, long epochMillis, Consumer<OpenOperation> full) {
		ShardImage draft = committed.draft();
		draft.trim(epochMillis - limits.retentionMillis());
		List<OpenOperation> stored = new ArrayList<>();
		for (OpenOperation operation : open) {
			CallRecord present = draft.get(operation.record().getKeyHash());
			if (!RecordRules.stores(operation, present)) {
				continue;
			}
			// The last quarter is kept for outcomes of calls that have run.
			if (operation.intent() && draft.bytes() > limits.maxRegisterBytes() / 4 * 3) {
				full.accept(operation);
				continue;
			}
			draft.put(stamped(operation.record(), draft, limits, epochMillis));
			stored.add(operation);
		}
		if (archive != null) {
			draft.archive(archive);
		}
		return new Commit(id, draft, archive, stored);
	}

	private static CallRecord stamped(CallRecord record, ShardImage draft, ShardLimits limits, long epochMillis) {
		CallRecord.Builder stamped = record.toBuilder().setChangedEpochMillis(epochMillis);
		int bodyBytes = record.getAnswer().getBody().size();
		if (bodyBytes > 0 && draft.bytes() + bodyBytes > limits.maxRegisterBytes() / 8 * 7) {
			stamped.getAnswerBuilder().clearBody().setBodyOmitted(true);
		}
		return stamped.build();
	}

}
