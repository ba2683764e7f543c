package io.balsamlane.core.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Strategy that selects an engine from the outstanding requests of a single router. Used
 * as the fallback when no scheduler is available and as the baseline in benchmarks.
 */
@FunctionalInterface
public interface EnginePolicy {

	/**
	 * Select an engine.
	 * @param engines names of the engines, not empty
	 * @param outstanding number of requests of this router that are running on an engine
	 * @return the name of the selected engine
	 */
	String choose(List<String> engines, ToIntFunction<String> outstanding);

	/**
	 * Return the policy with the given setting value.
	 * @param name {@code two_choices}, {@code least_outstanding}, {@code round_robin} or
	 * {@code random}
	 * @param random source of the random choices
	 * @return the policy
	 */
	static EnginePolicy of(String name, UniformRandomProvider random) {
		return switch (name) {
			case "two_choices" -> twoChoices(random);
			case "least_outstanding" ->
				(engines, outstanding) -> engines.stream().min(Comparator.comparingInt(outstanding)).orElseThrow();
			case "round_robin" -> roundRobin(new AtomicInteger(random.nextInt(Integer.MAX_VALUE)));
			case "random" -> (engines, outstanding) -> engines.get(random.nextInt(engines.size()));
			default -> throw new IllegalArgumentException("Unknown engine policy \"" + name + "\"");
		};
	}

	/**
	 * Return the policy that selects the less loaded of two random engines.
	 * @param random source of the random choices
	 * @return the policy
	 */
	static EnginePolicy twoChoices(UniformRandomProvider random) {
		return (engines, outstanding) -> {
			String first = engines.get(random.nextInt(engines.size()));
			String second = engines.get(random.nextInt(engines.size()));
			return (outstanding.applyAsInt(second) < outstanding.applyAsInt(first)) ? second : first;
		};
	}

	private static EnginePolicy roundRobin(AtomicInteger next) {
		return (engines, outstanding) -> engines.get(Math.floorMod(next.getAndIncrement(), engines.size()));
	}

}
