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
 * Contents of a register in memory: either the committed one or the draft of a commit.
 */
final class ShardImage {

	private final Map<ByteString, CallRecord> records;

	private final long commitNumber;

	private long archivedThrough;

	private long trimmedThrough;

	private int bytes;

	private boolean changed;

	private ShardImage(Map<ByteString, CallRecord> records, long commitNumber, long archivedThrough,
			long trimmedThrough, int bytes) {
		this.records = records;
		this.commitNumber = commitNumber;
		this.archivedThrough = archivedThrough;
		this.trimmedThrough = trimmedThrough;
		this.bytes = bytes;
	}

	static ShardImage of(RecordShard shard) {
		ShardImage image = new ShardImage(new LinkedHashMap<>(), shard.getCommitNumber(), shard.getArchivedThrough(),
				shard.getTrimmedThrough(), 0);
		shard.getRecordsList().forEach(image::put);
		image.changed = false;
		return image;
	}

	ShardImage draft() {
		return new ShardImage(new LinkedHashMap<>(this.records), this.commitNumber + 1, this.archivedThrough,
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
	 * Drops records that are older than the retention.
	 * @param beforeEpochMillis records changed before this time are dropped
	 */
	void trim(long beforeEpochMillis) {
		removeAll(this.records.values()
			.stream()
			.filter((record) -> record.getChangedEpochMillis() < beforeEpochMillis)
			.toList());
	}

	/**
	 * Names an archive and drops the records that it holds.
	 * @param archive the archive, known to be in the store
	 */
	void archive(RecordArchive archive) {
		this.archivedThrough = archive.getNumber();
		this.changed = true;
		removeAll(archive.getRecordsList()
			.stream()
			.filter((record) -> record.equals(this.records.get(record.getKeyHash())))
			.toList());
	}

	/**
	 * Chooses records that have an outcome, oldest first.
	 * @param shard the shard
	 * @param maxBytes largest size of the archive
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
