package io.balsamlane.core.records;

import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordArchive;
import io.balsamlane.schema.RecordShard;

/**
 * What a shard writer wants done. Each action but a reply is answered by exactly one call
 * of {@link ShardWriter#answer}; a writer has at most one of them in progress.
 */
public sealed interface RecordAction {

	/**
	 * Reads the register.
	 */
	record ReadRegister() implements RecordAction {
	}

	/**
	 * Replaces the register if it has the expected version.
	 *
	 * @param value the new value
	 * @param expectedVersion the version, 0 if there must be no register
	 */
	record WriteRegister(RecordShard value, long expectedVersion) implements RecordAction {
	}

	/**
	 * Reads an archive.
	 *
	 * @param number its number
	 */
	record ReadArchive(long number) implements RecordAction {
	}

	/**
	 * Creates an archive unless it exists.
	 *
	 * @param value the archive
	 */
	record CreateArchive(RecordArchive value) implements RecordAction {
	}

	/**
	 * Deletes an archive that the register no longer names.
	 *
	 * @param number its number
	 */
	record DeleteArchive(long number) implements RecordAction {
	}

	/**
	 * Answers an operation.
	 *
	 * @param ticket the operation
	 * @param reply the answer; EXISTS for an outcome that is stored
	 */
	record Reply(long ticket, IntentReply reply) implements RecordAction {
	}

}
