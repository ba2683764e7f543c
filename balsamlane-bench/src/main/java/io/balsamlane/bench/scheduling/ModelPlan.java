package io.balsamlane.bench.scheduling;

import io.balsamlane.standin.engine.EngineCapacity;

/**
 * One run of the model of one place.
 *
 * @param policy {@code scheduler} or a baseline
 * @param prefillEngines number of prefill engines
 * @param decodeEngines number of decode engines
 * @param capacity capacity of each engine
 * @param seconds time in which requests arrive
 * @param load offered load in relation to the capacity
 * @param swingFactor factor of the load in the middle fifth of the run
 * @param slowShare share of the engines of each role that run five times slower from a
 * quarter of the run on
 * @param routers entry routers of a baseline, each of which sees its own work only
 */
public record ModelPlan(String policy, int prefillEngines, int decodeEngines, EngineCapacity capacity, double seconds,
		double load, double swingFactor, double slowShare, int routers) {

	/** Median of a prompt's own tokens; its logarithm has a standard deviation of 0.6. */
	static final int OWN_TOKENS = 2000;

	static final double SIGMA = 0.6;

	static final int PREFIX_TOKENS = 1024;

	static final int MAX_TOKENS = 96;

	static final int SHORTEST_ANSWER = 20;

	static final int LONGEST_ANSWER = 79;

	static final double FIRST_TOKEN_SECONDS = 1.1;

	static final double BETWEEN_TOKENS_SECONDS = 0.035;

	/**
	 * Returns a plan of a small place whose prefill and decode engines are equally
	 * loaded.
	 * @param policy {@code scheduler} or a baseline
	 * @param load offered load in relation to the capacity
	 * @return the plan
	 */
	public static ModelPlan of(String policy, double load) {
		EngineCapacity capacity = new EngineCapacity(44, 2048, 20_000, 20_000, 500, 800, 160_000, 10_000_000_000L, 4096,
				500);
		return new ModelPlan(policy, 3, 2, capacity, 60, load, 1, 0, 1);
	}

	public ModelPlan withSwing(double factor) {
		return new ModelPlan(this.policy, this.prefillEngines, this.decodeEngines, this.capacity, this.seconds,
				this.load, factor, this.slowShare, this.routers);
	}

	public ModelPlan withSlow(int prefill, int decode, double share) {
		return new ModelPlan(this.policy, prefill, decode, this.capacity, this.seconds, this.load, this.swingFactor,
				share, this.routers);
	}

	ModelPlan withRouters(int count) {
		return new ModelPlan(this.policy, this.prefillEngines, this.decodeEngines, this.capacity, this.seconds,
				this.load, this.swingFactor, this.slowShare, count);
	}

	double slots() {
		double tokens = PREFIX_TOKENS + OWN_TOKENS * Math.exp(SIGMA * SIGMA / 2) + MAX_TOKENS;
		return Math.floor(this.capacity.memoryPieces() / (tokens / this.capacity.pieceTokens() + 0.5));
	}

	/**
	 * Returns the requests per second that the engines can serve if prefixes are cached
	 * and memory is held while decoding only.
	 * @return the rate
	 */
	public double capacityPerSecond() {
		double prefill = this.prefillEngines * this.capacity.prefillTokensPerSecond()
				/ (OWN_TOKENS * Math.exp(SIGMA * SIGMA / 2));
		double stepSeconds = (this.capacity.stepMicros() + slots() * this.capacity.stepPerSequenceMicros()) / 1e6;
		double answer = (SHORTEST_ANSWER + LONGEST_ANSWER) / 2.0 + 1;
		return Math.min(prefill, this.decodeEngines * slots() / (answer * stepSeconds));
	}

}
