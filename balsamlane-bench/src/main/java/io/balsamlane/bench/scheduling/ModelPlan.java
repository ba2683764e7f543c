package io.balsamlane.bench.scheduling;

import io.balsamlane.standin.engine.EngineCapacity;

/**
 * Parameters of one run of the scheduling model, which simulates one data centre.
 *
 * @param policy {@code scheduler} or the name of a baseline policy
 * @param prefillEngines number of prefill engines
 * @param decodeEngines number of decode engines
 * @param capacity capacity of each engine
 * @param seconds period during which requests arrive, in seconds
 * @param load offered load as a fraction of {@link #capacityPerSecond()}
 * @param swingFactor factor by which the load is multiplied in the middle fifth of the
 * run
 * @param slowShare share of the engines of each role that run five times slower after the
 * first quarter of the run, 0 to 1
 * @param routers number of entry routers of a baseline policy, each of which knows only
 * the requests that it sent itself
 */
public record ModelPlan(String policy, int prefillEngines, int decodeEngines, EngineCapacity capacity, double seconds,
		double load, double swingFactor, double slowShare, int routers) {

	/**
	 * Median number of prompt tokens after the shared prefix; log-normally distributed.
	 */
	static final int OWN_TOKENS = 2000;

	/** Standard deviation of the logarithm of the number of own tokens. */
	static final double OWN_TOKENS_SIGMA = 0.6;

	static final int PREFIX_TOKENS = 1024;

	static final int MAX_TOKENS = 96;

	static final int MIN_ANSWER_TOKENS = 20;

	static final int MAX_ANSWER_TOKENS = 79;

	static final double FIRST_TOKEN_SECONDS = 1.1;

	static final double BETWEEN_TOKENS_SECONDS = 0.035;

	/**
	 * Return a plan of a small data centre whose prefill and decode engines are equally
	 * loaded.
	 * @param policy {@code scheduler} or the name of a baseline policy
	 * @param load offered load as a fraction of the capacity
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

	double decodeSlots() {
		double tokens = PREFIX_TOKENS + OWN_TOKENS * Math.exp(OWN_TOKENS_SIGMA * OWN_TOKENS_SIGMA / 2) + MAX_TOKENS;
		return Math.floor(this.capacity.memoryPieces() / (tokens / this.capacity.pieceTokens() + 0.5));
	}

	/**
	 * Return the rate that the engines can serve, provided that all prefixes are cached
	 * and that memory is held only while decoding.
	 * @return the rate, in requests per second
	 */
	public double capacityPerSecond() {
		double prefill = this.prefillEngines * this.capacity.prefillTokensPerSecond()
				/ (OWN_TOKENS * Math.exp(OWN_TOKENS_SIGMA * OWN_TOKENS_SIGMA / 2));
		double stepSeconds = (this.capacity.stepMicros() + decodeSlots() * this.capacity.stepPerSequenceMicros()) / 1e6;
		double answer = (MIN_ANSWER_TOKENS + MAX_ANSWER_TOKENS) / 2.0 + 1;
		return Math.min(prefill, this.decodeEngines * decodeSlots() / (answer * stepSeconds));
	}

}
