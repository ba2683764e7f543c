package io.balsamlane.core.scheduling;

import java.util.stream.Stream;

/**
 * Read-only view of the state of a scheduler, for metrics and tests.
 */
public final class SchedulerView {

	private final EngineTable engines;

	private final GrantRegistry grants;

	private final WaitingQueue queue;

	private final CallerTable callers;

	SchedulerView(EngineTable engines, GrantRegistry grants, WaitingQueue queue, CallerTable callers) {
		this.engines = engines;
		this.grants = grants;
		this.queue = queue;
		this.callers = callers;
	}

	/**
	 * Return the number of live grants.
	 * @return the number of live grants
	 */
	public int liveGrants() {
		return this.grants.size();
	}

	/**
	 * Return the number of queued requests.
	 * @return the number of queued requests
	 */
	public int waiting() {
		return this.queue.size();
	}

	/**
	 * Return the number of callers with recorded state.
	 * @return the number of callers
	 */
	public int callers() {
		return this.callers.size();
	}

	/**
	 * Return the state of all known engines.
	 * @return the engines, in no particular order
	 */
	public Stream<EngineView> engines() {
		return Stream.of(this.engines.byIndex())
			.filter((engine) -> engine != null)
			.map((engine) -> new EngineView(engine.name, engine.memoryPieces, engine.reservedPieces,
					this.grants.all().stream().mapToInt((grant) -> piecesOnEngine(grant, engine)).sum(), engine.live,
					engine.relativeFactor, engine.straggler));
	}

	private static int piecesOnEngine(Grant grant, Engine engine) {
		return ((grant.prefill == engine) ? grant.prefillPieces : 0)
				+ ((grant.decode == engine) ? grant.decodePieces : 0);
	}

	/**
	 * Snapshot of the state of one engine.
	 *
	 * @param name name of the engine
	 * @param memoryPieces engine memory, in pieces
	 * @param reservedPieces reserved memory, in pieces
	 * @param grantedPieces memory reserved by the live grants on the engine, in pieces
	 * @param liveGrants number of live grants on the engine
	 * @param relativeTime time factor of the engine divided by the median of its pool
	 * @param straggler whether the engine is classified as a straggler
	 */
	public record EngineView(String name, int memoryPieces, int reservedPieces, int grantedPieces, int liveGrants,
			double relativeTime, boolean straggler) {
	}

}
