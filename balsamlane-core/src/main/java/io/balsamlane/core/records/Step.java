package io.balsamlane.core.records;

/**
 * What a shard writer is asking the store.
 */
enum Step {

	IDLE, READ, WRITE, INDEX, CHECK, CREATE, CONFIRM, DELETE

}
