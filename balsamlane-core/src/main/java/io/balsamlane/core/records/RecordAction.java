package io.balsamlane.core.records;

import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.RecordArchive;
import io.balsamlane.schema.RecordShard;

/**
 * An action that a shard writer asks its caller to perform. Every action except a reply
 * must be followed by exactly one call of {@link ShardWriter#handleStoreAnswer}. A writer
 * has at most one such action in progress.
 */
public sealed interface RecordAction {

	/**
	 * Read the register.
	 */
	record ReadRegister() implements RecordAction {
	}

	/**
	 * Replace the register if it has the expected version.
	 *
	 * @param value the new value
	 * @param expectedVersion the version, 0 if the register must not exist
	 */
	record WriteRegister(RecordShard value, long expectedVersion) implements RecordAction {
	}

	/**
	 * Read an archive.
	 *
	 * @param number its number
	 */
	record ReadArchive(long number) implements RecordAction {
	}

	/**
	 * Create an archive unless it exists.
	 *
	 * @param value the archive
	 */
	record CreateArchive(RecordArchive value) implements RecordAction {
	}

	/**
	 * Delete an archive that the register no longer references.
	 *
	 * @param number its number
	 */
	record DeleteArchive(long number) implements RecordAction {
	}

	/**
	 * Reply to an operation.
	 *
	 * @param ticket identifies the operation
	 * @param reply the reply; its result is EXISTS for an outcome that is stored
	 */
	record Reply(long ticket, IntentReply reply) implements RecordAction {
	}

}
