package io.balsamlane.standin.engine;

import java.util.TreeMap;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Orders that an engine received, with the state that they left behind.
 */
class OrderBook {

	private static final int MAX_ORDERS = 10_000;

	private final boolean checksFencing;

	private final JsonArray log = new JsonArray();

	private final TreeMap<String, Object> state = new TreeMap<>();

	private long highestFencing;

	OrderBook(boolean checksFencing) {
		this.checksFencing = checksFencing;
	}

	/**
	 * Decides about an order when it arrives.
	 * @param order the order with {@code fencing}, {@code kind} and {@code value}
	 * @return whether the engine will carry it out
	 */
	boolean accept(JsonObject order) {
		long fencing = order.getLong("fencing", 0L);
		boolean accepted = !this.checksFencing || fencing >= this.highestFencing;
		this.highestFencing = Math.max(this.highestFencing, fencing);
		if (this.log.size() < MAX_ORDERS) {
			this.log.add(order.copy().put("accepted", accepted).put("atMillis", System.currentTimeMillis()));
		}
		return accepted;
	}

	void carryOut(JsonObject order) {
		this.state.put(order.getString("kind"), order.getValue("value"));
	}

	JsonArray log() {
		return this.log;
	}

	JsonObject state() {
		return new JsonObject(this.state).copy().put("fencing", this.highestFencing);
	}

}
