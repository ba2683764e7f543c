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
 * Indexes of the archives that a register names, and archives to be deleted.
 */
final class ArchiveTable {

	private final TreeMap<Long, ArchiveIndex> indexes = new TreeMap<>();

	private final Deque<Long> deletable = new ArrayDeque<>();

	void put(RecordArchive archive) {
		this.indexes.put(archive.getNumber(), ArchiveIndex.of(archive));
	}

	/**
	 * Finds an archive that the register names and that is not indexed yet.
	 * @param image the register
	 * @return its number
	 */
	OptionalLong missing(ShardImage image) {
		return LongStream.rangeClosed(image.trimmedThrough() + 1, image.archivedThrough())
			.filter((number) -> !this.indexes.containsKey(number))
			.findFirst();
	}

	/**
	 * Finds the next archive that may hold the record of an operation.
	 * @param operation the operation
	 * @return the archive's number
	 */
	OptionalLong toCheck(OpenOperation operation) {
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
	 * Takes the result of a check over into the operation.
	 * @param operation the operation
	 * @param archive the archive that was read
	 * @param keptSinceEpochMillis older records have expired
	 */
	static void checked(OpenOperation operation, RecordArchive archive, long keptSinceEpochMillis) {
		operation.checkedArchivesThrough(archive.getNumber());
		archive.getRecordsList()
			.stream()
			.filter((record) -> record.getKeyHash().equals(operation.record().getKeyHash()))
			.filter((record) -> record.getChangedEpochMillis() >= keptSinceEpochMillis)
			.findFirst()
			.ifPresent(operation::archived);
	}

	/**
	 * Finds how far all records of the oldest archives have expired.
	 * @param image the register
	 * @param keptSinceEpochMillis older records have expired
	 * @return the number of the newest archive that can go
	 */
	long expiredThrough(ShardImage image, long keptSinceEpochMillis) {
		long through = image.trimmedThrough();
		while (through < image.archivedThrough() && this.indexes.containsKey(through + 1)
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

	void deleted() {
		this.deletable.poll();
	}

	int size() {
		return this.indexes.size();
	}

	void clear() {
		this.indexes.clear();
		this.deletable.clear();
	}

	static boolean live(CallRecord record, long keptSinceEpochMillis) {
		return record != null && record.getChangedEpochMillis() >= keptSinceEpochMillis;
	}

}
