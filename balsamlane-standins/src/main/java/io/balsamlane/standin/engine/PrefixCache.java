package io.balsamlane.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Prefix cache with least-recently-used eviction that publishes what it stores and
 * evicts; old events are dropped, so readers see gaps.
 */
class PrefixCache {

	private static final int MAX_EVENTS = 1000;

	private final int capacityBlocks;

	private final Map<Integer, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<JsonObject> events = new ArrayDeque<>();

	private long nextEvent = 1;

	PrefixCache(int capacityBlocks) {
		this.capacityBlocks = capacityBlocks;
	}

	/**
	 * Counts the leading blocks that are cached, then caches all blocks.
	 * @param blockHashes the prompt's blocks, first block first
	 * @return the number of leading blocks found
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

	private void publish(String what, int hash) {
		this.events.add(new JsonObject().put("sequence", this.nextEvent++).put("what", what).put("block", hash));
		if (this.events.size() > MAX_EVENTS) {
			this.events.remove();
		}
	}

	JsonArray eventsAfter(long sequence) {
		return new JsonArray(
				this.events.stream().filter((event) -> event.getLong("sequence") > sequence).limit(100).toList());
	}

}
