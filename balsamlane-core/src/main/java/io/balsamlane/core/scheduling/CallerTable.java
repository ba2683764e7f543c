package io.balsamlane.core.scheduling;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.schema.Caller;

/**
 * Bounded table of the callers of a scheduler. When it is full, the least recently used
 * idle caller is evicted.
 */
final class CallerTable {

	private final Map<String, CallerState> states = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Caller> limits = new HashMap<>();

	private final int capacity;

	/** Virtual time of the last served caller; a new or idle caller starts no lower. */
	private double virtualNanos;

	CallerTable(int capacity) {
		this.capacity = capacity;
	}

	void setLimits(List<Caller> callers, long nowNanos) {
		this.limits.clear();
		callers.forEach((caller) -> this.limits.put(caller.getName(), caller));
		this.states.forEach((name, state) -> applyLimits(name, state, nowNanos));
	}

	private void applyLimits(String name, CallerState state, long nowNanos) {
		Caller caller = this.limits.getOrDefault(name, Caller.getDefaultInstance());
		state.requests.setRate(caller.getRequestsPerSecond(), nowNanos);
		state.tokens.setRate(caller.getTokensPerSecond(), nowNanos);
	}

	CallerState getOrCreate(String name, long nowNanos) {
		CallerState state = this.states.get(name);
		if (state == null) {
			evictIdle();
			state = new CallerState();
			applyLimits(name, state, nowNanos);
			this.states.put(name, state);
		}
		if (state.idle()) {
			state.virtualNanos = Math.max(state.virtualNanos, this.virtualNanos);
		}
		return state;
	}

	private void evictIdle() {
		Iterator<CallerState> oldest = this.states.values().iterator();
		while (this.states.size() >= this.capacity && oldest.hasNext()) {
			if (oldest.next().idle()) {
				oldest.remove();
			}
		}
	}

	void charge(CallerState caller, double costNanos) {
		this.virtualNanos = Math.max(this.virtualNanos, caller.virtualNanos);
		caller.virtualNanos += costNanos;
	}

	int size() {
		return this.states.size();
	}

}
