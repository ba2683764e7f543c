package io.balsamlane.core.scheduling;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.balsamlane.schema.EngineRole;

/**
 * Engines of one domain, by name, by index and by pool. An engine that leaves is kept
 * while grants on it live.
 */
final class EngineTable {

	/** Bound given by the 16 bits of an engine index in the prefix table. */
	private static final int MAX_ENGINES = 65_000;

	private final Map<String, Engine> byName = new HashMap<>();

	private final Map<String, EnginePool> pools = new LinkedHashMap<>();

	private final EngineLoad unknown;

	private Engine[] byIndex = new Engine[16];

	private Engine[] prefill = new Engine[0];

	private Engine[] decode = new Engine[0];

	private int nextGeneration = 1;

	EngineTable(EngineLoad unknown) {
		this.unknown = unknown;
	}

	void set(List<EngineFacts> facts, long nowNanos) {
		Set<String> names = facts.stream().map(EngineFacts::name).collect(Collectors.toSet());
		this.byName.values().removeIf((engine) -> {
			boolean gone = !names.contains(engine.name) && engine.live == 0;
			if (gone) {
				this.byIndex[engine.index] = null;
			}
			return gone;
		});
		facts.stream().limit(MAX_ENGINES).forEach((fact) -> {
			Engine engine = this.byName.computeIfAbsent(fact.name(), (name) -> create(fact, nowNanos));
			engine.pool = this.pools.computeIfAbsent(fact.pool(), (name) -> new EnginePool(name, this.pools.size()));
		});
		this.prefill = present(names, EngineRole.PREFILL);
		this.decode = present(names, EngineRole.DECODE);
		this.pools.values()
			.forEach((pool) -> pool.engines = this.byName.values()
				.stream()
				.filter((engine) -> engine.pool == pool && names.contains(engine.name))
				.toArray(Engine[]::new));
	}

	private Engine create(EngineFacts fact, long nowNanos) {
		int index = 0;
		while (index < this.byIndex.length && this.byIndex[index] != null) {
			index++;
		}
		if (index == this.byIndex.length) {
			this.byIndex = Arrays.copyOf(this.byIndex, index * 2);
		}
		Engine engine = new Engine(fact.name(), fact.role(), index, this.nextGeneration++, nowNanos);
		engine.apply(this.unknown);
		this.byIndex[index] = engine;
		return engine;
	}

	private Engine[] present(Set<String> names, EngineRole role) {
		return this.byName.values()
			.stream()
			.filter((engine) -> engine.role == role && names.contains(engine.name))
			.toArray(Engine[]::new);
	}

	Engine find(String name) {
		return this.byName.get(name);
	}

	Optional<EnginePool> pool(String name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	int poolCount() {
		return this.pools.size();
	}

	Engine[] byIndex() {
		return this.byIndex;
	}

	Engine[] prefill() {
		return this.prefill;
	}

	Engine[] decode() {
		return this.decode;
	}

	void compareSpeeds() {
		this.pools.values().forEach(EnginePool::compareSpeeds);
	}

	/**
	 * Forgets the cache of an engine after events were lost.
	 * @param engine the engine
	 */
	void forgetCache(Engine engine) {
		engine.cacheGeneration = this.nextGeneration++;
	}

}
