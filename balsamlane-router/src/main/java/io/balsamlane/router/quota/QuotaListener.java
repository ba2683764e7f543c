package io.balsamlane.router.quota;

import java.util.Optional;

import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;

/**
 * Receives the decisions on quotas, for metrics and the log.
 */
public interface QuotaListener {

	/**
	 * A request with a limited quota was decided, or its tokens were returned.
	 * @param kind kind of the decision, a constant string
	 */
	void decided(String kind);

	/**
	 * The first request of a customer was refused after a time without refusals.
	 * @param customer the customer
	 * @param decidedBy the router that refused it, empty if it was the local share of
	 * this router
	 * @param viewAgeMillis time since the members, which determine the owner, last
	 * changed, in milliseconds
	 */
	void refusalsStarted(CustomerId customer, Optional<HostName> decidedBy, long viewAgeMillis);

	/**
	 * No request of a customer has been refused for some time.
	 * @param customer the customer
	 * @param refused number of refused requests
	 * @param lastedMillis time between the first and the last refusal, in milliseconds
	 */
	void refusalsEnded(CustomerId customer, long refused, long lastedMillis);

}
