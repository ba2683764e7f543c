package io.balsamlane.core.scheduling;

/**
 * Change to the prefix cache of an engine. A gap in the sequence numbers means that
 * events were lost.
 *
 * @param sequence sequence number of the event, incremented by one per event
 * @param stored true if the block was stored, false if it was evicted
 * @param block hash of the prompt prefix that ends with the block
 */
public record CacheEvent(long sequence, boolean stored, long block) {
}
