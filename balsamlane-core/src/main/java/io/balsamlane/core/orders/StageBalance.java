package io.balsamlane.core.orders;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ListedServer;

/**
 * Determines the division of a service's engines into prefill and decode stages that has
 * the highest throughput, and the next single change towards it.
 * <p>
 * The ratio of prefill to decode work is assumed to be constant, while the number of
 * engines may change because engines fail, are drained or are added.
 *
 * @param prefillPerSecond requests per second whose prompts one prefill engine processes
 * @param decodePerSecond requests per second that one decode engine completes
 */
public record StageBalance(double prefillPerSecond, double decodePerSecond) {

	/**
	 * Minimum throughput ratio that justifies taking an engine out of service for
	 * seconds.
	 */
	private static final double MIN_GAIN = 1.08;

	/**
	 * Determine the next change.
	 * @param engines the engines that are in service
	 * @return the change, empty if no change would gain enough throughput
	 */
	public Optional<StageChange> nextChange(List<ListedServer> engines) {
		List<ListedServer> staged = engines.stream().filter((engine) -> engine.stage() != EngineStage.NONE).toList();
		long prefill = staged.stream().filter((engine) -> engine.stage() == EngineStage.PREFILL).count();
		if (staged.size() < 2) {
			return Optional.empty();
		}
		int best = IntStream.range(1, staged.size())
			.boxed()
			.max(Comparator.comparingDouble((count) -> throughput(count, staged.size())))
			.orElseThrow();
		if (best == prefill || throughput(best, staged.size()) < throughput(prefill, staged.size()) * MIN_GAIN) {
			return Optional.empty();
		}
		return (best < prefill) ? change(staged, EngineStage.PREFILL, "decode")
				: change(staged, EngineStage.DECODE, "prefill");
	}

	private double throughput(long prefill, int engines) {
		return (prefill < 1 || prefill >= engines) ? 0
				: Math.min(prefill * this.prefillPerSecond, (engines - prefill) * this.decodePerSecond);
	}

	// Selects an engine in the data centre that has the most engines of the given stage.
	private static Optional<StageChange> change(List<ListedServer> engines, EngineStage from, String role) {
		List<ListedServer> candidates = engines.stream().filter((engine) -> engine.stage() == from).toList();
		Map<String, Long> byPlace = candidates.stream()
			.collect(Collectors.groupingBy((engine) -> engine.server().place().value(), Collectors.counting()));
		return candidates.stream()
			.min(Comparator.comparingLong((ListedServer engine) -> -byPlace.get(engine.server().place().value()))
				.thenComparing(ListedServer::name))
			.map((engine) -> new StageChange(engine.name(), role));
	}

}
