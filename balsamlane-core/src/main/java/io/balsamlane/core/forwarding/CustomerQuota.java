package io.balsamlane.core.forwarding;

/**
 * Limit on the tokens that the requests of a customer may use on all routers together.
 *
 * @param tokensPerSecond sustained rate in tokens a second, 0 for no limit
 * @param burstTokens tokens that may be used at once after a time of lower use
 * @param plainRequestTokens tokens that a request without a declared number of tokens
 * counts as
 */
public record CustomerQuota(long tokensPerSecond, long burstTokens, long plainRequestTokens) {

	/** No limit. */
	public static final CustomerQuota UNLIMITED = new CustomerQuota(0, 0, 0);

	public CustomerQuota {
		if (tokensPerSecond < 0 || burstTokens < 0 || plainRequestTokens < 0) {
			throw new IllegalArgumentException("A quota has a negative rate, burst or number of tokens");
		}
	}

	/**
	 * Return whether the customer has a limit.
	 * @return false if any number of tokens may be used
	 */
	public boolean limited() {
		return this.tokensPerSecond > 0;
	}

	/**
	 * Return the number of tokens that a request counts as.
	 * @param metadata metadata of the request
	 * @return the declared tokens of prompt and output, or the number for a plain request
	 */
	public long cost(RequestMetadata metadata) {
		long declared = (long) metadata.promptTokens() + metadata.maxOutputTokens();
		return (declared > 0) ? declared : this.plainRequestTokens;
	}

}
