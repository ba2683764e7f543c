package io.balsamlane.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Prefix cache with least-recently-used eviction that publishes an event for each stored
 * or evicted block. Events become visible after a lag. Dropped events and those beyond
 * the retention limit are missing, so readers see gaps in the sequence numbers.
 */
class PrefixCache {

	private static final int MAX_EVENTS = 1000;

	private final int capacityBlocks;

	private final long lagNanos;

	private final BooleanSupplier dropsEvent;

	private final Map<Integer, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<Event> events = new ArrayDeque<>();

	private long nextSequence = 1;

	PrefixCache(int capacityBlocks, int lagMillis, BooleanSupplier dropsEvent) {
		this.capacityBlocks = capacityBlocks;
		this.lagNanos = lagMillis * 1_000_000L;
		this.dropsEvent = dropsEvent;
	}

	/**
	 * Count the leading blocks that are cached, then cache all blocks.
	 * @param blockHashes the hashes of the prompt's blocks, in prompt order
	 * @return the number of leading blocks that were cached
	 */
	int reuse(List<Integer> blockHashes) {
		int found = (int) blockHashes.stream().takeWhile(this.blocks::containsKey).count();
		blockHashes.forEach((hash) -> {
			if (this.blocks.put(hash, Boolean.TRUE) == null) {
				publish("stored", hash);
			}
		});
		Iterator<Integer> oldest = this.blocks.keySet().iterator();
		while (this.blocks.size() > this.capacityBlocks) {
			publish("evicted", oldest.next());
			oldest.remove();
		}
		return found;
	}

	private void publish(String type, int hash) {
		long sequence = this.nextSequence++;
		if (this.dropsEvent.getAsBoolean()) {
			return;
		}
		this.events.add(new Event(sequence, System.nanoTime() + this.lagNanos,
				new JsonObject().put("sequence", sequence).put("what", type).put("block", hash)));
		if (this.events.size() > MAX_EVENTS) {
			this.events.remove();
		}
	}

	JsonArray eventsAfter(long sequence) {
		long nowNanos = System.nanoTime();
		return new JsonArray(this.events.stream()
			.filter((event) -> event.sequence() > sequence && event.visibleNanos() - nowNanos <= 0)
			.limit(100)
			.map(Event::json)
			.toList());
	}

	private record Event(long sequence, long visibleNanos, JsonObject json) {
	}

}
