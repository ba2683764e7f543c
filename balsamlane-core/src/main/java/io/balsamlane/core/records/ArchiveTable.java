package io.balsamlane.core.records;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.LongStream;

import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.RecordArchive;

/**
 * Holds the indexes of the archives that a register references, and the numbers of the
 * archives to delete.
 */
final class ArchiveTable {

	private final TreeMap<Long, ArchiveIndex> indexes = new TreeMap<>();

	private final Deque<Long> deletable = new ArrayDeque<>();

	void put(RecordArchive archive) {
		this.indexes.put(archive.getNumber(), ArchiveIndex.of(archive));
	}

	/**
	 * Find the first archive that the register references and that is not indexed yet.
	 * @param state the register
	 * @return its number, empty if all are indexed
	 */
	OptionalLong firstUnindexed(RegisterState state) {
		return LongStream.rangeClosed(state.trimmedThrough() + 1, state.archivedThrough())
			.filter((number) -> !this.indexes.containsKey(number))
			.findFirst();
	}

	/**
	 * Find the next archive that may hold the record of an operation.
	 * @param operation the operation
	 * @return the number of the archive, empty if none is left to search
	 */
	OptionalLong nextCandidate(PendingOperation operation) {
		OptionalLong found = this.indexes.tailMap(operation.checkedArchivesThrough(), false)
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().mayContain(operation.record().getKeyHash()))
			.mapToLong(Map.Entry::getKey)
			.findFirst();
		if (found.isEmpty() && !this.indexes.isEmpty()) {
			operation.checkedArchivesThrough(this.indexes.lastKey());
		}
		return found;
	}

	/**
	 * Search an archive for the record of an operation and store it in the operation.
	 * @param operation the operation
	 * @param archive the archive that was read
	 * @param keptSinceEpochMillis records changed before this time have expired, in
	 * milliseconds
	 */
	static void search(PendingOperation operation, RecordArchive archive, long keptSinceEpochMillis) {
		operation.checkedArchivesThrough(archive.getNumber());
		archive.getRecordsList()
			.stream()
			.filter((record) -> record.getKeyHash().equals(operation.record().getKeyHash()))
			.filter((record) -> record.getChangedEpochMillis() >= keptSinceEpochMillis)
			.findFirst()
			.ifPresent(operation::archived);
	}

	/**
	 * Find the last of the oldest archives whose records have all expired.
	 * @param state the register
	 * @param keptSinceEpochMillis records changed before this time have expired, in
	 * milliseconds
	 * @return the number up to which archives can be deleted
	 */
	long expiredThrough(RegisterState state, long keptSinceEpochMillis) {
		long through = state.trimmedThrough();
		while (through < state.archivedThrough() && this.indexes.containsKey(through + 1)
				&& this.indexes.get(through + 1).newestEpochMillis() < keptSinceEpochMillis) {
			through++;
		}
		return through;
	}

	void removeThrough(long number, boolean delete) {
		Map<Long, ArchiveIndex> removed = this.indexes.headMap(number, true);
		if (delete) {
			this.deletable.addAll(removed.keySet());
		}
		removed.clear();
	}

	Long nextToDelete() {
		return this.deletable.peek();
	}

	void removeDeleted() {
		this.deletable.poll();
	}

	int size() {
		return this.indexes.size();
	}

	void clear() {
		this.indexes.clear();
		this.deletable.clear();
	}

	static boolean retained(CallRecord record, long keptSinceEpochMillis) {
		return record != null && record.getChangedEpochMillis() >= keptSinceEpochMillis;
	}

}
