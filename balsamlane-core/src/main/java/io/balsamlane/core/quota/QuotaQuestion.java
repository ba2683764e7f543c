package io.balsamlane.core.quota;

import java.util.Objects;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.model.CustomerId;

/**
 * Question for the tokens of one request.
 *
 * @param customer the customer
 * @param quota quota of the customer
 * @param version version of the configuration that contains the quota
 * @param tokens number of tokens
 */
public record QuotaQuestion(CustomerId customer, CustomerQuota quota, long version, long tokens) {

	public QuotaQuestion {
		Objects.requireNonNull(customer, "customer");
		if (!quota.limited() || tokens < 0) {
			throw new IllegalArgumentException("A question for tokens needs a limited quota and a number of tokens");
		}
	}

}
