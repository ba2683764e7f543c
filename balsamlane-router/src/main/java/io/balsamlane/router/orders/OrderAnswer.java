package io.balsamlane.router.orders;

/**
 * Result of an order.
 */
public sealed interface OrderAnswer {

	/**
	 * The engine accepted the order.
	 */
	record Accepted() implements OrderAnswer {
	}

	/**
	 * The engine refused the order because it has seen a higher fencing number.
	 */
	record Stale() implements OrderAnswer {
	}

	/**
	 * The engine refused the order for another reason.
	 *
	 * @param kind machine-readable error kind that the engine returned
	 */
	record Refused(String kind) implements OrderAnswer {
	}

	/**
	 * The order was not sent.
	 *
	 * @param reason description of the cause
	 */
	record NotSent(String reason) implements OrderAnswer {
	}

	/**
	 * The answer was lost, so the order may have taken effect or may still do so.
	 *
	 * @param message description of the cause
	 */
	record Undecided(String message) implements OrderAnswer {
	}

}
