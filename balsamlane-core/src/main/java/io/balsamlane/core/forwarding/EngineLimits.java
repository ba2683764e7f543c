package io.balsamlane.core.forwarding;

/**
 * Capacity of the engines of a service.
 *
 * @param slots maximum number of concurrent requests on an engine
 * @param kvTokens capacity of an engine's KV cache in tokens
 * @param kvBytesPerToken size of the KV cache entry of one token in bytes
 * @param linkMbps bandwidth of an engine's transfer link, in megabits per second
 * @param handleTtlMillis time for which a prefill engine keeps the result of a prefill,
 * in milliseconds
 */
public record EngineLimits(int slots, long kvTokens, double kvBytesPerToken, double linkMbps, long handleTtlMillis) {

	/**
	 * Return the time to transfer the KV cache of a prompt over an idle link within a
	 * place.
	 * @param tokens number of tokens in the prompt
	 * @return the time in milliseconds
	 */
	public double transferMillis(long tokens) {
		return (this.linkMbps > 0) ? tokens * this.kvBytesPerToken * 8 / (this.linkMbps * 1000) : 0;
	}

}
