package io.balsamlane.core.records;

/**
 * The store request that a shard writer has in progress.
 */
enum Step {

	IDLE, READ_REGISTER, WRITE_REGISTER, LOAD_ARCHIVE_INDEX, SEARCH_ARCHIVE, CREATE_ARCHIVE, CONFIRM_ARCHIVE,
	DELETE_ARCHIVE

}
