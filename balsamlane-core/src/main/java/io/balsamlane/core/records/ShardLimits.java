package io.balsamlane.core.records;

/**
 * Times and sizes of a shard writer.
 *
 * @param commitPauseNanos shortest time between two writes of one writer
 * @param retentionMillis time for which a record is kept
 * @param outcomeWaitNanos longest time that a later copy waits for an outcome
 * @param probePauseNanos time between two reads while the store does not answer
 * @param pauseLimitNanos time between two calls of the writer from which on it counts as
 * paused and reads the register again
 * @param maxOperations most operations that wait at once
 * @param archiveBytes size of the register from which on outcomes are archived
 * @param maxArchiveBytes largest size of an archive
 * @param maxArchives most archives that are kept
 * @param maxRegisterBytes largest size of the register
 */
public record ShardLimits(long commitPauseNanos, long retentionMillis, long outcomeWaitNanos, long probePauseNanos,
		long pauseLimitNanos, int maxOperations, int archiveBytes, int maxArchiveBytes, int maxArchives,
		int maxRegisterBytes) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	public ShardLimits {
		if (retentionMillis < 1 || maxOperations < 1 || maxArchives < 1 || maxArchiveBytes < archiveBytes) {
			throw new IllegalArgumentException("A shard writer needs positive limits");
		}
	}

	/**
	 * Creates limits with the default sizes. A value of the store holds at most 1 MB; the
	 * register is archived early because each commit writes all of it.
	 * @param commitPauseMillis shortest time between two writes
	 * @param retentionMillis time for which a record is kept
	 * @param outcomeWaitMillis longest time that a later copy waits
	 * @param probePauseMillis time between two reads while the store does not answer
	 * @return the limits
	 */
	public static ShardLimits of(long commitPauseMillis, long retentionMillis, long outcomeWaitMillis,
			long probePauseMillis) {
		return new ShardLimits(commitPauseMillis * NANOS_PER_MILLI, retentionMillis,
				outcomeWaitMillis * NANOS_PER_MILLI, probePauseMillis * NANOS_PER_MILLI, 2000 * NANOS_PER_MILLI, 4096,
				196_608, 786_432, 512, 917_504);
	}

}
