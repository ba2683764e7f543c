package io.balsamlane.core.scheduling;

import java.util.stream.Stream;

/**
 * Read access to the state of a scheduler, for metrics and checks.
 */
public final class SchedulerView {

	private final EngineTable engines;

	private final Ledger ledger;

	private final WaitingQueue queue;

	private final CallerTable callers;

	SchedulerView(EngineTable engines, Ledger ledger, WaitingQueue queue, CallerTable callers) {
		this.engines = engines;
		this.ledger = ledger;
		this.queue = queue;
		this.callers = callers;
	}

	/**
	 * Returns the number of live grants.
	 * @return the grants
	 */
	public int liveGrants() {
		return this.ledger.size();
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the requests
	 */
	public int waiting() {
		return this.queue.size();
	}

	/**
	 * Returns the number of remembered callers.
	 * @return the callers
	 */
	public int callers() {
		return this.callers.size();
	}

	/**
	 * Returns the state of the engines that are known.
	 * @return the engines, in no order
	 */
	public Stream<EngineView> engines() {
		return Stream.of(this.engines.byIndex())
			.filter((engine) -> engine != null)
			.map((engine) -> new EngineView(engine.name, engine.memoryPieces, engine.reservedPieces,
					this.ledger.all().stream().mapToInt((grant) -> piecesOn(grant, engine)).sum(), engine.live,
					engine.relativeFactor, engine.straggler));
	}

	private static int piecesOn(Grant grant, Engine engine) {
		return ((grant.prefill == engine) ? grant.prefillPieces : 0)
				+ ((grant.decode == engine) ? grant.decodePieces : 0);
	}

	/**
	 * State of one engine.
	 *
	 * @param name name of the engine
	 * @param memoryPieces engine memory, in pieces
	 * @param reservedPieces reserved memory, in pieces
	 * @param grantedPieces memory of all live grants on the engine, in pieces
	 * @param liveGrants live grants on the engine
	 * @param relativeTime time in relation to the pool's median
	 * @param straggler whether the engine counts as slow
	 */
	public record EngineView(String name, int memoryPieces, int reservedPieces, int grantedPieces, int liveGrants,
			double relativeTime, boolean straggler) {
	}

}
