package io.balsamlane.core.forwarding;

/**
 * How much of an engine requests may use.
 *
 * @param maxKvTokens most tokens of KV cache that they may hold, 0 for no bound
 * @param maxRequests most requests at once, 0 for no bound
 */
public record EngineRoom(long maxKvTokens, int maxRequests) {

	/**
	 * Tells whether one more request has room. An engine without work takes any request.
	 * @param work the work on the engine
	 * @param kvTokens tokens of KV cache that the request holds at most
	 * @return true if it has room
	 */
	public boolean admits(EngineWork work, long kvTokens) {
		return work.requests() == 0 || ((this.maxKvTokens == 0 || work.kvTokens() + kvTokens <= this.maxKvTokens)
				&& (this.maxRequests == 0 || work.requests() < this.maxRequests));
	}

}
