package io.balsamlane.core.forwarding;

/**
 * Outstanding work on an engine.
 *
 * @param pendingTokens prompt tokens of requests whose first event or prefill result is
 * outstanding
 * @param requests number of requests in progress
 * @param kvTokens number of KV cache tokens reserved for these requests
 */
public record EngineWork(long pendingTokens, int requests, long kvTokens) {

	/** No work. */
	public static final EngineWork NONE = new EngineWork(0, 0, 0);

	/**
	 * Return the sum of this work and the given work.
	 * @param other the work to add
	 * @return the sum
	 */
	public EngineWork plus(EngineWork other) {
		return new EngineWork(this.pendingTokens + other.pendingTokens, this.requests + other.requests,
				this.kvTokens + other.kvTokens);
	}

	/**
	 * Return this work less the given work.
	 * @param other the work to subtract
	 * @return the difference
	 */
	public EngineWork minus(EngineWork other) {
		return new EngineWork(this.pendingTokens - other.pendingTokens, this.requests - other.requests,
				this.kvTokens - other.kvTokens);
	}

	// Explicit, because the generated methods call method handles, which the C1 compiler
	// does not inline. Collectors compare all engines with each report.
	@Override
	public boolean equals(Object other) {
		return other instanceof EngineWork that && this.pendingTokens == that.pendingTokens
				&& this.requests == that.requests && this.kvTokens == that.kvTokens;
	}

	@Override
	public int hashCode() {
		return 31 * (31 * Long.hashCode(this.pendingTokens) + this.requests) + Long.hashCode(this.kvTokens);
	}

}
