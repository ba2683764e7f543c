package io.balsamlane.core.records;

import java.util.Arrays;

import com.google.protobuf.ByteString;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.RecordArchive;

/**
 * Index of the keys of one archive. Each key hash is truncated to 8 bytes, so that the
 * index of one hour of calls fits into the memory of a router. A match must be confirmed
 * by reading the archive.
 *
 * @param keys sorted first 8 bytes of each key hash
 * @param newestEpochMillis time of the latest change in the archive, in milliseconds
 */
record ArchiveIndex(long[] keys, long newestEpochMillis) {

	static ArchiveIndex of(RecordArchive archive) {
		return new ArchiveIndex(
				archive.getRecordsList()
					.stream()
					.mapToLong((record) -> keyPrefix(record.getKeyHash()))
					.sorted()
					.toArray(),
				archive.getRecordsList().stream().mapToLong(CallRecord::getChangedEpochMillis).max().orElse(0));
	}

	boolean mayContain(ByteString keyHash) {
		return Arrays.binarySearch(this.keys, keyPrefix(keyHash)) >= 0;
	}

	private static long keyPrefix(ByteString keyHash) {
		return (keyHash.size() >= Long.BYTES) ? keyHash.asReadOnlyByteBuffer().getLong() : keyHash.hashCode();
	}

}
