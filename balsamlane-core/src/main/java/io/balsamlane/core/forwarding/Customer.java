package io.balsamlane.core.forwarding;

import java.util.Objects;
import java.util.OptionalInt;

import io.balsamlane.core.model.CustomerId;

/**
 * A customer whose requests are identified by an API key. The keys are held by the
 * {@link CustomerDirectory}, as digests only.
 *
 * @param id name of the customer
 * @param priority priority that replaces the one of the route, 0 being the highest
 * @param quota limit on the tokens of the customer's requests
 */
public record Customer(CustomerId id, OptionalInt priority, CustomerQuota quota) {

	public Customer {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(quota, "quota");
	}

	/**
	 * Return the priority of a request of this customer.
	 * @param route route of the request
	 * @return the customer's priority, or that of the route
	 */
	public int priority(ForwardingRoute route) {
		return this.priority.orElse(route.priority());
	}

}
