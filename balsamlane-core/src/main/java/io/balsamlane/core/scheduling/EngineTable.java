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
 * Engines of one domain, indexed by name, number and pool. A removed engine is kept until
 * its last grant ends.
 */
final class EngineTable {

	/** Limited by the 16 bits that the prefix table has for an engine index. */
	private static final int MAX_ENGINES = 65_000;

	private final Map<String, Engine> byName = new HashMap<>();

	private final Map<String, EnginePool> pools = new LinkedHashMap<>();

	private final EngineLoad defaultLoad;

	private Engine[] byIndex = new Engine[16];

	private Engine[] prefill = new Engine[0];

	private Engine[] decode = new Engine[0];

	private int nextGeneration = 1;

	EngineTable(EngineLoad defaultLoad) {
		this.defaultLoad = defaultLoad;
	}

	void replaceAll(List<EngineDescriptor> descriptors, long nowNanos) {
		Set<String> names = descriptors.stream().map(EngineDescriptor::name).collect(Collectors.toSet());
		this.byName.values().removeIf((engine) -> {
			boolean removed = !names.contains(engine.name) && engine.live == 0;
			if (removed) {
				this.byIndex[engine.index] = null;
			}
			return removed;
		});
		descriptors.stream().limit(MAX_ENGINES).forEach((descriptor) -> {
			Engine engine = this.byName.computeIfAbsent(descriptor.name(), (name) -> create(descriptor, nowNanos));
			engine.pool = this.pools.computeIfAbsent(descriptor.pool(),
					(name) -> new EnginePool(name, this.pools.size()));
		});
		this.prefill = listed(names, EngineRole.PREFILL);
		this.decode = listed(names, EngineRole.DECODE);
		this.pools.values()
			.forEach((pool) -> pool.engines = this.byName.values()
				.stream()
				.filter((engine) -> engine.pool == pool && names.contains(engine.name))
				.toArray(Engine[]::new));
	}

	private Engine create(EngineDescriptor descriptor, long nowNanos) {
		int index = 0;
		while (index < this.byIndex.length && this.byIndex[index] != null) {
			index++;
		}
		if (index == this.byIndex.length) {
			this.byIndex = Arrays.copyOf(this.byIndex, index * 2);
		}
		Engine engine = new Engine(descriptor.name(), descriptor.role(), index, this.nextGeneration++, nowNanos);
		engine.apply(this.defaultLoad);
		this.byIndex[index] = engine;
		return engine;
	}

	private Engine[] listed(Set<String> names, EngineRole role) {
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
	 * Invalidate the recorded cache contents of an engine after events were lost.
	 * @param engine the engine
	 */
	void invalidateCache(Engine engine) {
		engine.cacheGeneration = this.nextGeneration++;
	}

}
