package io.balsamlane.core.scheduling;

import java.util.Arrays;
import java.util.List;

import io.balsamlane.schema.GrantRequest;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects a prefill engine and a decode engine for one request. The fields hold the last
 * selection, so that a decision allocates no memory that grows with the fleet.
 */
final class Placement {

	/** Number of prompt blocks that are looked up; later blocks count as not cached. */
	private static final int MAX_BLOCKS = 256;

	/**
	 * Grants between two probes of stragglers. The probe rate is far below 1 in 100, so
	 * that probes do not affect the 99th percentile.
	 */
	private static final int GRANTS_PER_PROBE = 400;

	/**
	 * Grants between two probes while requests are queued and a recovered engine is
	 * needed.
	 */
	private static final int GRANTS_PER_PROBE_UNDER_LOAD = 50;

	/**
	 * Number of consecutive lost events tolerated before the recorded cache of an engine
	 * is invalidated. A few lost evictions only affect a few blocks, whereas invalidation
	 * discards every cached prefix.
	 */
	private static final int MAX_LOST_EVENTS = 64;

	private static final long PROBE_INTERVAL_NANOS = 30_000_000_000L;

	private final SchedulerParameters parameters;

	private final EngineTable engines;

	private final PrefixTable prefixes;

	private final UniformRandomProvider random;

	private boolean[] allowedPools = new boolean[8];

	private int[] cachedBlocks = new int[16];

	private long decisionNumber;

	private int grantsSinceProbe;

	private long lastProbeNanos;

	private boolean tooLarge;

	Engine prefill;

	Engine decode;

	int prefillTokens;

	long prefillNanos;

	long transferNanos;

	/** Expected time of the first token on the selected engines. */
	long firstTokenNanos;

	/** Shortest time to first token if all engines were idle. */
	long serviceNanos;

	/**
	 * Expected time of the first token on the best prefill engine, regardless of free
	 * memory.
	 */
	long earliestFirstTokenNanos;

	Placement(SchedulerParameters parameters, EngineTable engines, UniformRandomProvider random, long nowNanos) {
		this.parameters = parameters;
		this.engines = engines;
		this.random = random;
		this.prefixes = new PrefixTable(parameters.prefixSlots());
		this.lastProbeNanos = nowNanos;
	}

	/**
	 * Select engines for a request.
	 * @param request the request
	 * @param decodePieces decode memory required by the request, in pieces
	 * @param deadlineNanos time by which the first token is due, less the safety margin
	 * @param queueNanos total cost of all queued requests, in nanoseconds
	 * @param nowNanos current time
	 * @return the outcome
	 */
	Outcome choose(GrantRequest request, int decodePieces, long deadlineNanos, double queueNanos, long nowNanos) {
		this.decisionNumber++;
		markExcluded(request.getExcludedServersList());
		int grantsPerProbe = (queueNanos > 0) ? GRANTS_PER_PROBE_UNDER_LOAD : GRANTS_PER_PROBE;
		boolean probe = this.grantsSinceProbe >= grantsPerProbe
				|| nowNanos - this.lastProbeNanos > PROBE_INTERVAL_NANOS;
		setAllowedPools(request.getDecodePoolsList());
		double targetMicros = 1000.0 * ((request.getBetweenTokensMillis() > 0) ? request.getBetweenTokensMillis()
				: this.parameters.betweenTokensMillis());
		boolean decodeFound = chooseDecode(decodePieces, targetMicros, probe, nowNanos);
		setAllowedPools(request.getPrefillPoolsList());
		boolean prefillFound = choosePrefill(request, probe, queueNanos, nowNanos);
		if (!decodeFound || !prefillFound) {
			return this.tooLarge ? Outcome.TOO_LARGE : Outcome.NO_ENGINE;
		}
		if (nowNanos + this.serviceNanos - deadlineNanos > 0) {
			return Outcome.INFEASIBLE;
		}
		if (this.decode == null || this.prefill == null || this.firstTokenNanos - deadlineNanos > 0) {
			return Outcome.BUSY;
		}
		return Outcome.PLACED;
	}

	private void markExcluded(List<String> names) {
		for (int i = 0; i < names.size(); i++) {
			Engine engine = this.engines.find(names.get(i));
			if (engine != null) {
				engine.excludedDecisionNumber = this.decisionNumber;
			}
		}
	}

	private void setAllowedPools(List<String> pools) {
		if (this.allowedPools.length < this.engines.poolCount()) {
			this.allowedPools = new boolean[this.engines.poolCount() * 2];
		}
		Arrays.fill(this.allowedPools, pools.isEmpty());
		for (int i = 0; i < pools.size(); i++) {
			this.engines.pool(pools.get(i)).ifPresent((pool) -> this.allowedPools[pool.index] = true);
		}
	}

	private boolean usable(Engine engine) {
		return this.allowedPools[engine.pool.index] && engine.excludedDecisionNumber != this.decisionNumber;
	}

	private boolean allDown(Engine[] candidates, long nowNanos) {
		for (Engine engine : candidates) {
			if (usable(engine) && !engine.down(nowNanos)) {
				return false;
			}
		}
		return true;
	}

	private boolean chooseDecode(int pieces, double targetMicros, boolean probe, long nowNanos) {
		Engine[] candidates = this.engines.decode();
		this.decode = null;
		this.tooLarge = false;
		boolean found = false;
		boolean ignoreDown = allDown(candidates, nowNanos);
		double bestScore = Double.MAX_VALUE;
		EnginePool limitPool = null;
		int healthyLimit = 0;
		int start = (candidates.length > 0) ? this.random.nextInt(candidates.length) : 0;
		for (int i = 0; i < candidates.length; i++) {
			Engine engine = candidates[(start + i < candidates.length) ? start + i : start + i - candidates.length];
			if (!usable(engine)) {
				continue;
			}
			if (engine.memoryPieces < pieces) {
				this.tooLarge = !found;
				continue;
			}
			found = true;
			this.tooLarge = false;
			if (engine.freePieces() < pieces || (!ignoreDown && engine.down(nowNanos))) {
				continue;
			}
			if (engine.straggler && probe && engine.probes == 0) {
				this.decode = engine;
				return true;
			}
			if (engine.pool != limitPool) {
				limitPool = engine.pool;
				healthyLimit = limitPool.batchLimit(targetMicros, 1);
			}
			int limit = engine.straggler ? limitPool.batchLimit(targetMicros, engine.relativeFactor) : healthyLimit;
			if (engine.live >= limit) {
				continue;
			}
			double used = Math.max(
					(double) (engine.reservedPieces + engine.unaccountedPieces + pieces) / engine.memoryPieces,
					(engine.live + 1.0) / limit);
			double score = used * engine.relativeFactor;
			if (score < bestScore) {
				bestScore = score;
				this.decode = engine;
			}
		}
		return found;
	}

	private boolean choosePrefill(GrantRequest request, boolean probe, double queueNanos, long nowNanos) {
		Engine[] candidates = this.engines.prefill();
		findCachedPrefix(request);
		int tokens = Math.max(1, request.getPromptTokens());
		int pieces = piecesFor(tokens);
		long maxWaitNanos = this.parameters.maxPrefillWaitMillis() * 1_000_000L;
		long stepNanos = (this.decode != null) ? stepNanos(this.decode) : 0;
		boolean ignoreDown = allDown(candidates, nowNanos);
		boolean found = false;
		this.prefill = null;
		this.earliestFirstTokenNanos = Long.MAX_VALUE;
		this.serviceNanos = Long.MAX_VALUE;
		this.firstTokenNanos = Long.MAX_VALUE;
		int start = (candidates.length > 0) ? this.random.nextInt(candidates.length) : 0;
		for (int i = 0; i < candidates.length; i++) {
			Engine engine = candidates[(start + i < candidates.length) ? start + i : start + i - candidates.length];
			if (!usable(engine) || engine.memoryPieces < pieces || (!ignoreDown && engine.down(nowNanos))) {
				continue;
			}
			found = true;
			int uncached = uncachedTokens(engine, tokens);
			long compute = engine.prefillNanos(uncached);
			long transfer = (long) (tokens * engine.transferNanosPerToken);
			long wait = engine.waitNanos(nowNanos);
			long done = nowNanos + wait + compute;
			long finish = Math.max(done, engine.linkBusyUntilNanos) + transfer + stepNanos;
			this.serviceNanos = Math.min(this.serviceNanos, compute + transfer + stepNanos);
			this.earliestFirstTokenNanos = Math.min(this.earliestFirstTokenNanos, finish);
			long saved = engine.prefillNanos(tokens - uncached);
			if (engine.freePieces() < pieces || wait > maxWaitNanos + saved) {
				continue;
			}
			boolean probing = engine.straggler && probe && engine.probes == 0;
			if (finish < this.firstTokenNanos || probing) {
				this.firstTokenNanos = probing ? 0 : finish;
				this.prefill = engine;
			}
		}
		if (this.prefill != null) {
			setPrefill(this.prefill, tokens, stepNanos, nowNanos);
			if (this.firstTokenNanos - this.earliestFirstTokenNanos > maxWaitNanos + queueNanos
					&& !(probe && this.prefill.straggler)) {
				this.prefill = null;
			}
		}
		return found;
	}

	private void setPrefill(Engine engine, int tokens, long stepNanos, long nowNanos) {
		this.prefillTokens = uncachedTokens(engine, tokens);
		this.prefillNanos = engine.prefillNanos(this.prefillTokens);
		this.transferNanos = (long) (tokens * engine.transferNanosPerToken);
		long done = nowNanos + engine.waitNanos(nowNanos) + this.prefillNanos;
		this.firstTokenNanos = Math.max(done, engine.linkBusyUntilNanos) + this.transferNanos + stepNanos;
	}

	private static long stepNanos(Engine engine) {
		return (long) (engine.pool.steps.micros(engine.decoding + 1) * engine.timeFactor * 1000);
	}

	private int uncachedTokens(Engine engine, int tokens) {
		return Math.max(1, tokens - this.cachedBlocks[engine.index] * this.parameters.blockTokens());
	}

	private void findCachedPrefix(GrantRequest request) {
		Engine[] byIndex = this.engines.byIndex();
		if (this.cachedBlocks.length < byIndex.length) {
			this.cachedBlocks = new int[byIndex.length];
		}
		Arrays.fill(this.cachedBlocks, 0);
		int blocks = Math.min(MAX_BLOCKS, request.getPrefixHashesCount());
		for (int position = 0; position < blocks; position++) {
			if (!this.prefixes.extendPrefixes(request.getPrefixHashes(position), position, this.cachedBlocks,
					byIndex)) {
				return;
			}
		}
	}

	int piecesFor(int tokens) {
		return Math.max(1, (tokens + this.parameters.pieceTokens() - 1) / this.parameters.pieceTokens());
	}

	/**
	 * Record that the last selection was granted. The prompt will be cached by its
	 * prefill engine.
	 * @param request the request
	 * @param nowNanos current time
	 */
	void recordGrant(GrantRequest request, long nowNanos) {
		this.grantsSinceProbe++;
		if (this.prefill.straggler || this.decode.straggler) {
			this.grantsSinceProbe = 0;
			this.lastProbeNanos = nowNanos;
		}
		int blocks = Math.min(MAX_BLOCKS, request.getPrefixHashesCount());
		for (int position = 0; position < blocks; position++) {
			this.prefixes.store(request.getPrefixHashes(position), this.prefill.index, this.prefill.cacheGeneration);
		}
	}

	/**
	 * Allow the next grant to probe a straggler, because one has produced a fast sample.
	 */
	void requestProbe() {
		this.grantsSinceProbe = GRANTS_PER_PROBE;
	}

	void observeCache(Engine engine, List<CacheEvent> events) {
		events.forEach((event) -> {
			if (event.sequence() <= engine.cacheSequence) {
				return;
			}
			if (engine.cacheSequence > 0 && event.sequence() - engine.cacheSequence > MAX_LOST_EVENTS) {
				this.engines.invalidateCache(engine);
			}
			engine.cacheSequence = event.sequence();
			if (event.stored()) {
				this.prefixes.store(event.block(), engine.index, engine.cacheGeneration);
			}
			else {
				this.prefixes.evict(event.block(), engine.index);
			}
		});
	}

	/**
	 * Outcome of a selection.
	 */
	enum Outcome {

		/** Engines were selected. */
		PLACED,

		/**
		 * No engine can accept the request now, but idle engines would meet the deadline.
		 */
		BUSY,

		/** Even idle engines would miss the deadline. */
		INFEASIBLE,

		/** No usable engine exists. */
		NO_ENGINE,

		/** No engine has enough memory. */
		TOO_LARGE

	}

}
