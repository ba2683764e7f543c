package io.balsamlane.bench.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.standin.engine.EngineCapacity;

/**
 * Simulated engine that applies the memory, prefill, transfer and step rules of the
 * stand-in engine.
 */
final class ModelEngine {

	final String name;

	final EngineCapacity capacity;

	final List<ModelRequest> batch = new ArrayList<>();

	private final Map<Integer, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	double slowFactor = 1;

	int usedPieces;

	boolean stepping;

	private long busyUntilNanos;

	private long linkUntilNanos;

	ModelEngine(String name, EngineCapacity capacity) {
		this.name = name;
		this.capacity = capacity;
	}

	boolean tryReserve(int pieces) {
		if (this.usedPieces + pieces > this.capacity.memoryPieces()) {
			return false;
		}
		this.usedPieces += pieces;
		return true;
	}

	long prefill(ModelRequest request, long nowNanos) {
		int own = request.tokens - ((this.prefixes.put(request.prefix, true) != null) ? ModelPlan.PREFIX_TOKENS : 0);
		long nanos = (long) (1e9 * own / this.capacity.prefillTokensPerSecond() * this.slowFactor);
		this.busyUntilNanos = Math.max(nowNanos, this.busyUntilNanos) + nanos;
		return this.busyUntilNanos;
	}

	long export(ModelRequest request, long nowNanos) {
		long nanos = (long) (1e9 * request.tokens * this.capacity.kvBytesPerToken()
				/ this.capacity.linkBytesPerSecond());
		this.linkUntilNanos = Math.max(nowNanos, this.linkUntilNanos) + nanos;
		return this.linkUntilNanos;
	}

	long stepNanos() {
		return (long) ((this.capacity.stepMicros() + this.batch.size() * this.capacity.stepPerSequenceMicros()) * 1000L
				* this.slowFactor);
	}

}
