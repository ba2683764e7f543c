package io.balsamlane.core.records;

/**
 * Time and size limits of a shard writer.
 *
 * @param commitPauseNanos minimum time between two writes of one writer, in nanoseconds
 * @param retentionMillis time for which a record is kept, in milliseconds
 * @param outcomeWaitNanos maximum time that a later copy waits for an outcome, in
 * nanoseconds
 * @param outageRetryNanos time between two reads while the store does not answer, in
 * nanoseconds
 * @param pauseThresholdNanos time between two calls of the writer after which it counts
 * as paused and reads the register again, in nanoseconds
 * @param maxOperations maximum number of pending operations
 * @param archiveThresholdBytes size of the register from which outcomes are archived, in
 * bytes
 * @param maxArchiveBytes maximum size of an archive, in bytes
 * @param maxArchives maximum number of archives
 * @param maxRegisterBytes maximum size of the register, in bytes
 */
public record ShardLimits(long commitPauseNanos, long retentionMillis, long outcomeWaitNanos, long outageRetryNanos,
		long pauseThresholdNanos, int maxOperations, int archiveThresholdBytes, int maxArchiveBytes, int maxArchives,
		int maxRegisterBytes) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	public ShardLimits {
		if (retentionMillis < 1 || maxOperations < 1 || maxArchives < 1 || maxArchiveBytes < archiveThresholdBytes) {
			throw new IllegalArgumentException(
					"Retention, maxOperations and maxArchives must be at least 1, maxArchiveBytes at least archiveThresholdBytes");
		}
	}

	/**
	 * Create limits with the default sizes. A value in the store can hold at most 1 MB.
	 * The register is archived well below that, because each commit writes all of it.
	 * @param commitPauseMillis minimum time between two writes, in milliseconds
	 * @param retentionMillis time for which a record is kept, in milliseconds
	 * @param outcomeWaitMillis maximum time that a later copy waits for an outcome, in
	 * milliseconds
	 * @param outageRetryMillis time between two reads while the store does not answer, in
	 * milliseconds
	 * @return the limits
	 */
	public static ShardLimits of(long commitPauseMillis, long retentionMillis, long outcomeWaitMillis,
			long outageRetryMillis) {
		return new ShardLimits(commitPauseMillis * NANOS_PER_MILLI, retentionMillis,
				outcomeWaitMillis * NANOS_PER_MILLI, outageRetryMillis * NANOS_PER_MILLI, 2000 * NANOS_PER_MILLI, 4096,
				196_608, 786_432, 512, 917_504);
	}

}
