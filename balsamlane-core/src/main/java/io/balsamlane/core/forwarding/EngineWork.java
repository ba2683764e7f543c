package io.balsamlane.core.forwarding;

/**
 * Work on an engine that has not ended.
 *
 * @param pendingTokens prompt tokens whose first event or prefill result is outstanding
 * @param requests requests that have not ended
 * @param kvTokens tokens of KV cache that these requests will hold
 */
public record EngineWork(long pendingTokens, int requests, long kvTokens) {

	/** No work. */
	public static final EngineWork NONE = new EngineWork(0, 0, 0);

	/**
	 * Adds up the work of two sources.
	 * @param other the other work
	 * @return the sum
	 */
	public EngineWork plus(EngineWork other) {
		return new EngineWork(this.pendingTokens + other.pendingTokens, this.requests + other.requests,
				this.kvTokens + other.kvTokens);
	}

	/**
	 * Takes work away.
	 * @param other the work that no longer counts
	 * @return the difference
	 */
	public EngineWork minus(EngineWork other) {
		return new EngineWork(this.pendingTokens - other.pendingTokens, this.requests - other.requests,
				this.kvTokens - other.kvTokens);
	}

}
