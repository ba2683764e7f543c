package io.balsamlane.core.forwarding;

import java.util.Optional;

/**
 * Result of looking up the sender of a request in a configuration.
 */
public sealed interface CallerIdentity {

	/**
	 * Return the customer that sent the request.
	 * @return the customer, empty if the request is not attributed to any
	 */
	default Optional<Customer> customer() {
		return Optional.empty();
	}

	/**
	 * Return whether the request may be sent to a server.
	 * @return false if it needs a key and has no valid one
	 */
	default boolean allowed() {
		return true;
	}

	/**
	 * Return whether servers receive the credentials that the caller sent.
	 * @return true only if the configuration has no customers, so that the credentials
	 * are not meant for the router
	 */
	default boolean forwardsCredentials() {
		return false;
	}

	/**
	 * The configuration has no customers; each caller may send requests.
	 */
	record Unrestricted() implements CallerIdentity {

		@Override
		public boolean forwardsCredentials() {
			return true;
		}

	}

	/**
	 * The route is public; the request is not attributed to a customer, even if it has a
	 * valid key.
	 */
	record Anonymous() implements CallerIdentity {
	}

	/**
	 * A key identifies the customer.
	 *
	 * @param identified the customer
	 */
	record Identified(Customer identified) implements CallerIdentity {

		@Override
		public Optional<Customer> customer() {
			return Optional.of(this.identified);
		}

	}

	/**
	 * The request needs a key and has no valid one.
	 *
	 * @param keyPresent true if it has a key that identifies nobody; false if it has none
	 */
	record Unknown(boolean keyPresent) implements CallerIdentity {

		@Override
		public boolean allowed() {
			return false;
		}

	}

}
