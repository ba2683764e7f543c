package io.balsamlane.core.orders;

import java.util.Objects;

/**
 * One order to an engine. It names a part of the target state, so an engine that receives
 * it twice ends in the same state as one that receives it once.
 *
 * @param kind the part of the state
 * @param value the value that this part shall have
 */
public record EngineOrder(Kind kind, String value) {

	public EngineOrder {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Parts of an engine's state that orders change.
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
