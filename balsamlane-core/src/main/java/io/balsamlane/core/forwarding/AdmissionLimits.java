package io.balsamlane.core.forwarding;

/**
 * Limits up to which an engine admits requests.
 *
 * @param maxKvTokens maximum number of KV cache tokens in use, 0 for no limit
 * @param maxRequests maximum number of concurrent requests, 0 for no limit
 */
public record AdmissionLimits(long maxKvTokens, int maxRequests) {

	/**
	 * Return whether one more request is admitted. An engine without work admits any
	 * request.
	 * @param work the work on the engine
	 * @param kvTokens number of KV cache tokens to reserve for the request
	 * @return true if the request is within the limits
	 */
	public boolean admits(EngineWork work, long kvTokens) {
		return work.requests() == 0 || ((this.maxKvTokens == 0 || work.kvTokens() + kvTokens <= this.maxKvTokens)
				&& (this.maxRequests == 0 || work.requests() < this.maxRequests));
	}

}
