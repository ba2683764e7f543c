package io.balsamlane.core.scheduling;

import java.util.Arrays;
import java.util.List;

import io.balsamlane.schema.GrantRequest;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses a prefill and a decode engine for one request. The fields hold the last choice,
 * so that a decision allocates nothing that grows with the fleet.
 */
final class Placement {

	/** Blocks of a prompt that are looked up; later blocks are counted as not cached. */
	private static final int MAX_BLOCKS = 256;

	/**
	 * Grants between two probes of stragglers. Far below 1 in 100, so that probes do not
	 * show in the 99th percentile.
	 */
	private static final int GRANTS_PER_PROBE = 400;

	/**
	 * Grants between two probes while requests wait, when a recovered engine is needed.
	 */
	private static final int GRANTS_PER_URGENT_PROBE = 50;

	/**
	 * Events that may be lost at once before an engine's cache is forgotten. A few lost
	 * evictions misjudge a few blocks; forgetting would cost every cached prefix.
	 */
	private static final int MAX_LOST_EVENTS = 64;

	private static final long PROBE_NANOS = 30_000_000_000L;

	private final SchedulerParameters parameters;

	private final EngineTable engines;

	private final PrefixTable prefixes;

	private final UniformRandomProvider random;

	private boolean[] allowedPools = new boolean[8];

	private int[] runs = new int[16];

	private long decision;

	private int grantsSinceProbe;

	private long probedNanos;

	private boolean tooLarge;

	Engine prefill;

	Engine decode;

	int prefillTokens;

	long prefillNanos;

	long transferNanos;

	/** Expected time of the first token on the chosen engines. */
	long firstTokenNanos;

	/** Shortest time to the first token on idle engines. */
	long serviceNanos;

	/**
	 * Expected time of the first token on the best engine, were all decode memory free.
	 */
	long bestNanos;

	Placement(SchedulerParameters parameters, EngineTable engines, UniformRandomProvider random, long nowNanos) {
		this.parameters = parameters;
		this.engines = engines;
		this.random = random;
		this.prefixes = new PrefixTable(parameters.prefixSlots());
		this.probedNanos = nowNanos;
	}

	/**
	 * Chooses engines.
	 * @param request the request
	 * @param decodePieces memory that its decode needs
	 * @param deadlineNanos time by which the first token is due, the margin taken off
	 * @param queueNanos expected wait of the queued requests, in nanoseconds
	 * @param nowNanos present time
	 * @return the outcome
	 */
	Outcome choose(GrantRequest request, int decodePieces, long deadlineNanos, double queueNanos, long nowNanos) {
		this.decision++;
		exclude(request.getExcludedServersList());
		int between = (queueNanos > 0) ? GRANTS_PER_URGENT_PROBE : GRANTS_PER_PROBE;
		boolean probe = this.grantsSinceProbe >= between || nowNanos - this.probedNanos > PROBE_NANOS;
		allow(request.getDecodePoolsList());
		double targetMicros = 1000.0 * ((request.getBetweenTokensMillis() > 0) ? request.getBetweenTokensMillis()
				: this.parameters.betweenTokensMillis());
		boolean decodeKnown = chooseDecode(decodePieces, targetMicros, probe, nowNanos);
		allow(request.getPrefillPoolsList());
		boolean prefillKnown = choosePrefill(request, probe, queueNanos, nowNanos);
		if (!decodeKnown || !prefillKnown) {
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

	private void exclude(List<String> names) {
		for (int i = 0; i < names.size(); i++) {
			Engine engine = this.engines.find(names.get(i));
			if (engine != null) {
				engine.excludedDecision = this.decision;
			}
		}
	}

	private void allow(List<String> pools) {
		if (this.allowedPools.length < this.engines.poolCount()) {
			this.allowedPools = new boolean[this.engines.poolCount() * 2];
		}
		Arrays.fill(this.allowedPools, pools.isEmpty());
		for (int i = 0; i < pools.size(); i++) {
			this.engines.pool(pools.get(i)).ifPresent((pool) -> this.allowedPools[pool.index] = true);
		}
	}

	private boolean usable(Engine engine) {
		return this.allowedPools[engine.pool.index] && engine.excludedDecision != this.decision;
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
		boolean known = false;
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
				this.tooLarge = !known;
				continue;
			}
			known = true;
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
					(double) (engine.reservedPieces + engine.foreignPieces + pieces) / engine.memoryPieces,
					(engine.live + 1.0) / limit);
			double score = used * engine.relativeFactor;
			if (score < bestScore) {
				bestScore = score;
				this.decode = engine;
			}
		}
		return known;
	}

	private boolean choosePrefill(GrantRequest request, boolean probe, double queueNanos, long nowNanos) {
		Engine[] candidates = this.engines.prefill();
		findPrefix(request);
		int tokens = Math.max(1, request.getPromptTokens());
		int pieces = pieces(tokens);
		long lookaheadNanos = this.parameters.lookaheadMillis() * 1_000_000L;
		long stepNanos = (this.decode != null) ? stepNanos(this.decode) : 0;
		boolean ignoreDown = allDown(candidates, nowNanos);
		boolean known = false;
		this.prefill = null;
		this.bestNanos = Long.MAX_VALUE;
		this.serviceNanos = Long.MAX_VALUE;
		this.firstTokenNanos = Long.MAX_VALUE;
		int start = (candidates.length > 0) ? this.random.nextInt(candidates.length) : 0;
		for (int i = 0; i < candidates.length; i++) {
			Engine engine = candidates[(start + i < candidates.length) ? start + i : start + i - candidates.length];
			if (!usable(engine) || engine.memoryPieces < pieces || (!ignoreDown && engine.down(nowNanos))) {
				continue;
			}
			known = true;
			int remaining = remaining(engine, tokens);
			long compute = engine.prefillNanos(remaining);
			long transfer = (long) (tokens * engine.transferNanosPerToken);
			long wait = engine.waitNanos(nowNanos);
			long done = nowNanos + wait + compute;
			long finish = Math.max(done, engine.linkUntilNanos) + transfer + stepNanos;
			this.serviceNanos = Math.min(this.serviceNanos, compute + transfer + stepNanos);
			this.bestNanos = Math.min(this.bestNanos, finish);
			long saved = engine.prefillNanos(tokens - remaining);
			if (engine.freePieces() < pieces || wait > lookaheadNanos + saved) {
				continue;
			}
			boolean probing = engine.straggler && probe && engine.probes == 0;
			if (finish < this.firstTokenNanos || probing) {
				this.firstTokenNanos = probing ? 0 : finish;
				this.prefill = engine;
			}
		}
		if (this.prefill != null) {
			set(this.prefill, tokens, stepNanos, nowNanos);
			if (this.firstTokenNanos - this.bestNanos > lookaheadNanos + queueNanos
					&& !(probe && this.prefill.straggler)) {
				this.prefill = null;
			}
		}
		return known;
	}

	private void set(Engine engine, int tokens, long stepNanos, long nowNanos) {
		this.prefillTokens = remaining(engine, tokens);
		this.prefillNanos = engine.prefillNanos(this.prefillTokens);
		this.transferNanos = (long) (tokens * engine.transferNanosPerToken);
		long done = nowNanos + engine.waitNanos(nowNanos) + this.prefillNanos;
		this.firstTokenNanos = Math.max(done, engine.linkUntilNanos) + this.transferNanos + stepNanos;
	}

	private static long stepNanos(Engine engine) {
		return (long) (engine.pool.steps.micros(engine.decoding + 1) * engine.timeFactor * 1000);
	}

	private int remaining(Engine engine, int tokens) {
		return Math.max(1, tokens - this.runs[engine.index] * this.parameters.blockTokens());
	}

	private void findPrefix(GrantRequest request) {
		Engine[] byIndex = this.engines.byIndex();
		if (this.runs.length < byIndex.length) {
			this.runs = new int[byIndex.length];
		}
		Arrays.fill(this.runs, 0);
		int blocks = Math.min(MAX_BLOCKS, request.getPrefixHashesCount());
		for (int position = 0; position < blocks; position++) {
			if (!this.prefixes.extend(request.getPrefixHashes(position), position, this.runs, byIndex)) {
				return;
			}
		}
	}

	int pieces(int tokens) {
		return Math.max(1, (tokens + this.parameters.pieceTokens() - 1) / this.parameters.pieceTokens());
	}

	/**
	 * Notes that the last choice was granted: its prompt will be cached by its prefill
	 * engine.
	 * @param request the request
	 * @param nowNanos present time
	 */
	void granted(GrantRequest request, long nowNanos) {
		this.grantsSinceProbe++;
		if (this.prefill.straggler || this.decode.straggler) {
			this.grantsSinceProbe = 0;
			this.probedNanos = nowNanos;
		}
		int blocks = Math.min(MAX_BLOCKS, request.getPrefixHashesCount());
		for (int position = 0; position < blocks; position++) {
			this.prefixes.store(request.getPrefixHashes(position), this.prefill.index, this.prefill.cacheGeneration);
		}
	}

	/**
	 * Lets the next grant probe, because a straggler was fast again.
	 */
	void probeSoon() {
		this.grantsSinceProbe = GRANTS_PER_PROBE;
	}

	void observeCache(Engine engine, List<CacheEvent> events) {
		events.forEach((event) -> {
			if (event.sequence() <= engine.cacheSequence) {
				return;
			}
			if (engine.cacheSequence > 0 && event.sequence() - engine.cacheSequence > MAX_LOST_EVENTS) {
				this.engines.forgetCache(engine);
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
	 * Outcomes of a choice.
	 */
	enum Outcome {

		/** Engines were chosen. */
		PLACED,

		/** The engines are busy now but could meet the deadline. */
		BUSY,

		/** Even idle engines would miss the deadline. */
		INFEASIBLE,

		/** No engine may be used. */
		NO_ENGINE,

		/** No engine has enough memory. */
		TOO_LARGE

	}

}
