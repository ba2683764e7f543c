package io.balsamlane.router.quota;

import java.util.Optional;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.quota.QuotaQuestion;

/**
 * Tokens that were granted to a request, as needed to return them.
 *
 * @param question the question for the tokens, empty if the request costs nothing
 * @param decidedBy the router that granted them, empty if it was this router's local
 * share
 * @param sequence identifies the question at the router that granted the tokens
 */
public record QuotaGrant(Optional<QuotaQuestion> question, Optional<HostName> decidedBy, long sequence) {

	/** Grant of a request that costs nothing. */
	public static final QuotaGrant FREE = new QuotaGrant(Optional.empty(), Optional.empty(), 0);

}
