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
 * Finds the division of a service's engines into prefill and decode that carries the most
 * requests, and the one change that leads towards it.
 * <p>
 * It answers a load whose prompts and answers keep their proportion while the number of
 * engines changes, because some are lost, emptied or added.
 *
 * @param prefillPerSecond requests whose prompts one prefill engine reads in a second
 * @param decodePerSecond requests that one decode engine completes in a second
 */
public record StageBalance(double prefillPerSecond, double decodePerSecond) {

	/** Least gain in carried requests for which an engine leaves its work for seconds. */
	private static final double MIN_GAIN = 1.08;

	/**
	 * Finds the next change.
	 * @param engines the engines that are in service
	 * @return the change, empty if the division is good enough
	 */
	public Optional<StageChange> next(List<ListedServer> engines) {
		List<ListedServer> staged = engines.stream().filter((engine) -> engine.stage() != EngineStage.NONE).toList();
		long prefill = staged.stream().filter((engine) -> engine.stage() == EngineStage.PREFILL).count();
		if (staged.size() < 2) {
			return Optional.empty();
		}
		int best = IntStream.range(1, staged.size())
			.boxed()
			.max(Comparator.comparingDouble((count) -> carried(count, staged.size())))
			.orElseThrow();
		if (best == prefill || carried(best, staged.size()) < carried(prefill, staged.size()) * MIN_GAIN) {
			return Optional.empty();
		}
		return (best < prefill) ? change(staged, EngineStage.PREFILL, "decode")
				: change(staged, EngineStage.DECODE, "prefill");
	}

	private double carried(long prefill, int engines) {
		return (prefill < 1 || prefill >= engines) ? 0
				: Math.min(prefill * this.prefillPerSecond, (engines - prefill) * this.decodePerSecond);
	}

	// Takes an engine of the place that has most of its stage.
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
