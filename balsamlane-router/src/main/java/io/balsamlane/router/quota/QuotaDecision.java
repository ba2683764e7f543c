package io.balsamlane.router.quota;

/**
 * Decision on the tokens of a request.
 */
public sealed interface QuotaDecision {

	/**
	 * The request is within the quota of its customer.
	 *
	 * @param grant the granted tokens, to be returned if no server gets the request
	 */
	record Granted(QuotaGrant grant) implements QuotaDecision {
	}

	/**
	 * The request is beyond the quota of its customer.
	 *
	 * @param retryAfterMillis time until there is room for the request, in milliseconds
	 */
	record Exceeded(int retryAfterMillis) implements QuotaDecision {
	}

}
