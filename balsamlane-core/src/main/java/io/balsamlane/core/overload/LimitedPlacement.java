package io.balsamlane.core.overload;

import java.util.Collection;
import java.util.List;

import io.balsamlane.core.forwarding.EngineChoice;
import io.balsamlane.core.forwarding.EngineLimits;
import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.SharedLoadPlacement;

/**
 * Restricts the choice of engines to those within {@link PlacementLimits}. Reads the view
 * of the engines and changes nothing.
 */
public final class LimitedPlacement {

	private final SharedLoadPlacement engines;

	private LimitedPlacement(SharedLoadPlacement engines) {
		this.engines = engines;
	}

	/**
	 * Create a placement.
	 * @param engines the work on the engines
	 * @return the placement
	 */
	public static LimitedPlacement of(SharedLoadPlacement engines) {
		return new LimitedPlacement(engines);
	}

	/**
	 * Select engines within the limits.
	 * @param usable the engines that are available to the request
	 * @param capacity capacity of the engines
	 * @param limits limits of the request
	 * @param tokens number of KV cache tokens that the request holds
	 * @param averageTokens number of KV cache tokens that an average request holds
	 * @param onTimeMillis time within which the first event is expected to be on time,
	 * {@link Long#MAX_VALUE} if it may be late
	 * @param chooser chooses among the given engines without these limits
	 * @param nowNanos the monotonic time
	 * @return the choice, {@link EngineChoice.Full} if no engine is within the limits
	 */
	public EngineChoice choose(Collection<ListedServer> usable, EngineLimits capacity, PlacementLimits limits,
			long tokens, long averageTokens, long onTimeMillis, Chooser chooser, long nowNanos) {
		List<ListedServer> decoders = usable.stream().filter((engine) -> engine.stage() == EngineStage.DECODE).toList();
		boolean prefillEngineFree = usable.stream()
			.anyMatch((engine) -> engine.stage() == EngineStage.PREFILL && queueWithin(engine, limits, nowNanos));
		long requiredAverage = PlacementLimits.requiredTokens(averageTokens, capacity.kvTokens());
		long free = decoders.stream()
			.filter((engine) -> (prefillEngineFree || queueWithin(engine, limits, nowNanos))
					&& admits(engine, capacity, limits, requiredAverage, nowNanos))
			.count();
		EngineChoice.Full full = new EngineChoice.Full(decoders.size());
		if (!decoders.isEmpty() && free < limits.minFreeShare() * decoders.size()) {
			return full;
		}
		long required = PlacementLimits.requiredTokens(tokens, capacity.kvTokens());
		List<ListedServer> eligible = usable.stream()
			.filter((engine) -> (engine.stage() == EngineStage.DECODE)
					? (prefillEngineFree || queueWithin(engine, limits, nowNanos))
							&& admits(engine, capacity, limits, required, nowNanos)
					: queueWithin(engine, limits, nowNanos))
			.toList();
		if (!decoders.isEmpty() && eligible.stream().noneMatch((engine) -> engine.stage() == EngineStage.DECODE)) {
			return full;
		}
		EngineChoice choice = chooser.choose(eligible);
		if (choice instanceof EngineChoice.Colocated colocated) {
			return isTimely(colocated.decode(), colocated.firstEventMillis(), limits, onTimeMillis, nowNanos) ? choice
					: full;
		}
		if (choice instanceof EngineChoice.Disaggregated disaggregated) {
			return isTimely(disaggregated.prefill(), disaggregated.firstEventMillis(), limits, onTimeMillis, nowNanos)
					? choice : full;
		}
		return choice;
	}

	private boolean admits(ListedServer engine, EngineLimits capacity, PlacementLimits limits, long tokens,
			long nowNanos) {
		return this.engines.admissionLimits(engine, capacity, limits.maxFill())
			.admits(this.engines.work(engine.name(), nowNanos), tokens);
	}

	private boolean queueWithin(ListedServer engine, PlacementLimits limits, long nowNanos) {
		return this.engines.queueMillis(engine, nowNanos) <= limits.maxQueueMillis();
	}

	// An engine without a queue is used even if the first event is expected too late: the
	// expectation may be wrong, and a longer wait cannot improve it.
	private boolean isTimely(ListedServer engine, double firstEventMillis, PlacementLimits limits, long onTimeMillis,
			long nowNanos) {
		double queueMillis = this.engines.queueMillis(engine, nowNanos);
		return queueMillis == 0 || (queueMillis <= limits.maxQueueMillis() && firstEventMillis <= onTimeMillis);
	}

	/**
	 * Chooses among engines.
	 */
	@FunctionalInterface
	public interface Chooser {

		/**
		 * Choose engines for the request.
		 * @param engines the engines
		 * @return the choice
		 */
		EngineChoice choose(Collection<ListedServer> engines);

	}

}
