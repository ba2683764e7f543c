package io.balsamlane.core.records;

import java.util.Arrays;

import com.google.protobuf.ByteString;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.RecordArchive;

/**
 * The keys of one archive, each shortened to 8 bytes so that an hour of calls fits into
 * the memory of a router. A hit is confirmed by reading the archive.
 *
 * @param keys sorted first 8 bytes of each key hash
 * @param newestEpochMillis time of the newest change in the archive
 */
record ArchiveIndex(long[] keys, long newestEpochMillis) {

	static ArchiveIndex of(RecordArchive archive) {
		return new ArchiveIndex(
				archive.getRecordsList()
					.stream()
					.mapToLong((record) -> shorten(record.getKeyHash()))
					.sorted()
					.toArray(),
				archive.getRecordsList().stream().mapToLong(CallRecord::getChangedEpochMillis).max().orElse(0));
	}

	boolean mayContain(ByteString keyHash) {
		return Arrays.binarySearch(this.keys, shorten(keyHash)) >= 0;
	}

	private static long shorten(ByteString keyHash) {
		return (keyHash.size() >= Long.BYTES) ? keyHash.asReadOnlyByteBuffer().getLong() : keyHash.hashCode();
	}

}
