package io.balsamlane.bench;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Experiments by name.
 */
final class ExperimentRegistry {

	private final Map<String, Function<MeasureOptions, Experiment>> factories = new TreeMap<>();

	private ExperimentRegistry() {
	}

	/**
	 * Returns the registry of all experiments. Each experiment adds one line here.
	 * @return the registry
	 */
	static ExperimentRegistry ofAll() {
		ExperimentRegistry registry = new ExperimentRegistry();
		registry.add("path", PathExperiment::create);
		registry.add("configuration", ConfigurationExperiment::create);
		registry.add("records", RecordsExperiment::create);
		registry.add("goodput", GoodputExperiment::create);
		registry.add("waste", GoodputExperiment::createWithCancels);
		registry.add("swing", SwingExperiment::create);
		registry.add("stragglers", StragglersExperiment::create);
		registry.add("pauses", PauseExperiment::create);
		registry.add("recovery", RecoveryExperiment::create);
		registry.add("slopes", SlopesExperiment::create);
		registry.add("decision", (options) -> DecisionExperiment.create(options.seed(), options.out())::run);
		return registry;
	}

	private void add(String name, Function<MeasureOptions, Experiment> factory) {
		this.factories.put(name, factory);
	}

	Set<String> names() {
		return this.factories.keySet();
	}

	Optional<Function<MeasureOptions, Experiment>> find(String name) {
		return Optional.ofNullable(this.factories.get(name));
	}

}
