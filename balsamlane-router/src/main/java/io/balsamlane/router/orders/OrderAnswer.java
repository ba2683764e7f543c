package io.balsamlane.router.orders;

/**
 * Outcome of an order.
 */
public sealed interface OrderAnswer {

	/**
	 * The engine accepted the order.
	 */
	record Accepted() implements OrderAnswer {
	}

	/**
	 * The engine has seen a higher fencing number.
	 */
	record Stale() implements OrderAnswer {
	}

	/**
	 * The engine refused the order for another reason.
	 *
	 * @param kind kind of the error
	 */
	record Refused(String kind) implements OrderAnswer {
	}

	/**
	 * The order was not sent.
	 *
	 * @param reason the cause
	 */
	record NotSent(String reason) implements OrderAnswer {
	}

	/**
	 * The answer is lost; the order may have taken effect or may yet do so.
	 *
	 * @param message the cause
	 */
	record Undecided(String message) implements OrderAnswer {
	}

}
