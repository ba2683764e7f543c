package io.balsamlane.core.scheduling;

/**
 * Change of an engine's prefix cache. A jump of the sequence means that events were lost.
 *
 * @param sequence number of the event, rising by one
 * @param stored true if the block was stored, false if it was evicted
 * @param block hash of the prefix that ends with the block
 */
public record CacheEvent(long sequence, boolean stored, long block) {
}
