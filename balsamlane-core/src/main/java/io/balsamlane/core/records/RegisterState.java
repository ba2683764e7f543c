package io.balsamlane.core.records;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.RecordArchive;
import io.balsamlane.schema.RecordShard;
import io.balsamlane.schema.RecordState;

/**
 * In-memory contents of a shard's register, either as committed or as the draft of a
 * commit.
 */
final class RegisterState {

	private final Map<ByteString, CallRecord> records;

	private final long commitNumber;

	private long archivedThrough;

	private long trimmedThrough;

	private int bytes;

	private boolean changed;

	private RegisterState(Map<ByteString, CallRecord> records, long commitNumber, long archivedThrough,
			long trimmedThrough, int bytes) {
		this.records = records;
		this.commitNumber = commitNumber;
		this.archivedThrough = archivedThrough;
		this.trimmedThrough = trimmedThrough;
		this.bytes = bytes;
	}

	static RegisterState of(RecordShard shard) {
		RegisterState state = new RegisterState(new LinkedHashMap<>(), shard.getCommitNumber(),
				shard.getArchivedThrough(), shard.getTrimmedThrough(), 0);
		shard.getRecordsList().forEach(state::put);
		state.changed = false;
		return state;
	}

	RegisterState draft() {
		return new RegisterState(new LinkedHashMap<>(this.records), this.commitNumber + 1, this.archivedThrough,
				this.trimmedThrough, this.bytes);
	}

	RecordShard toShard(int shard, String commitId) {
		return RecordShard.newBuilder()
			.setShard(shard)
			.setCommitId(commitId)
			.setCommitNumber(this.commitNumber)
			.addAllRecords(this.records.values())
			.setArchivedThrough(this.archivedThrough)
			.setTrimmedThrough(this.trimmedThrough)
			.build();
	}

	CallRecord get(ByteString keyHash) {
		return this.records.get(keyHash);
	}

	void put(CallRecord record) {
		CallRecord before = this.records.put(record.getKeyHash(), record);
		this.bytes += size(record) - ((before != null) ? size(before) : 0);
		this.changed = true;
	}

	/**
	 * Remove the records whose retention has expired.
	 * @param beforeEpochMillis records changed before this time are removed, in
	 * milliseconds
	 */
	void trim(long beforeEpochMillis) {
		removeAll(this.records.values()
			.stream()
			.filter((record) -> record.getChangedEpochMillis() < beforeEpochMillis)
			.toList());
	}

	/**
	 * Reference an archive and remove the records that it holds.
	 * @param archive the archive, which must already be in the store
	 */
	void addArchive(RecordArchive archive) {
		this.archivedThrough = archive.getNumber();
		this.changed = true;
		removeAll(archive.getRecordsList()
			.stream()
			.filter((record) -> record.equals(this.records.get(record.getKeyHash())))
			.toList());
	}

	/**
	 * Build the next archive from records that have an outcome, oldest first.
	 * @param shard the shard
	 * @param maxBytes maximum size of the archive, in bytes
	 * @return the next archive
	 */
	RecordArchive nextArchive(int shard, int maxBytes) {
		List<CallRecord> chosen = new ArrayList<>();
		int chosenBytes = 0;
		for (CallRecord record : this.records.values()) {
			boolean hasOutcome = record.getState() == RecordState.COMPLETED || record.getState() == RecordState.UNKNOWN;
			if (hasOutcome && chosenBytes + size(record) <= maxBytes) {
				chosen.add(record);
				chosenBytes += size(record);
			}
		}
		return RecordArchive.newBuilder()
			.setShard(shard)
			.setNumber(this.archivedThrough + 1)
			.addAllRecords(chosen)
			.build();
	}

	void trimArchivesThrough(long number) {
		this.trimmedThrough = number;
		this.changed = true;
	}

	private void removeAll(List<CallRecord> removed) {
		for (CallRecord record : removed) {
			this.records.remove(record.getKeyHash());
			this.bytes -= size(record);
		}
	}

	long archivedThrough() {
		return this.archivedThrough;
	}

	long trimmedThrough() {
		return this.trimmedThrough;
	}

	int bytes() {
		return this.bytes;
	}

	boolean changed() {
		return this.changed;
	}

	private static int size(CallRecord record) {
		return record.getSerializedSize() + 4;
	}

}
