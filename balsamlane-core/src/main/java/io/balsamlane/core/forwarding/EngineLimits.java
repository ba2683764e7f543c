package io.balsamlane.core.forwarding;

/**
 * Size of the engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param kvTokens tokens that an engine's KV cache holds
 * @param kvBytesPerToken bytes of KV cache for one token
 * @param linkMbps rate of an engine's link for transfers, in megabits per second
 * @param handleLifeMillis time for which the result of a prefill is kept, in milliseconds
 */
public record EngineLimits(int slots, long kvTokens, double kvBytesPerToken, double linkMbps, long handleLifeMillis) {

	/**
	 * Returns the time to move the KV cache of a prompt over an idle link within a place.
	 * @param tokens tokens of the prompt
	 * @return the time in milliseconds
	 */
	public double transferMillis(long tokens) {
		return (this.linkMbps > 0) ? tokens * this.kvBytesPerToken * 8 / (this.linkMbps * 1000) : 0;
	}

}
