package io.balsamlane.core.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Picks an engine by the outstanding work of one router alone; the fallback without a
 * scheduler and the baselines of measurements.
 */
@FunctionalInterface
public interface EnginePolicy {

	/**
	 * Picks an engine.
	 * @param engines names of the engines, not empty
	 * @param outstanding requests that this router has running on an engine
	 * @return the name of the picked engine
	 */
	String choose(List<String> engines, ToIntFunction<String> outstanding);

	/**
	 * Returns the policy of a setting.
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
			default -> throw new IllegalArgumentException("No policy has the name \"" + name + "\"");
		};
	}

	/**
	 * Returns the policy that picks the better of two random engines.
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
