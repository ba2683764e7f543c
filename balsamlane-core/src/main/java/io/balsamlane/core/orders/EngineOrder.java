package io.balsamlane.core.orders;

import java.util.Objects;

/**
 * Order that sets one part of an engine's state to a value. Orders are idempotent.
 *
 * @param kind the part of the state to set
 * @param value the new value
 */
public record EngineOrder(Kind kind, String value) {

	public EngineOrder {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Part of an engine's state that an order can set.
	 */
	public enum Kind {

		/** The role: {@code prefill} or {@code decode}. */
		ROLE,

		/** The name of the loaded model. */
		MODEL,

		/** All loaded adapters, sorted and separated by commas. */
		ADAPTERS

	}

}
