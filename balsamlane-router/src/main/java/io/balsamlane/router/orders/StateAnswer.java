package io.balsamlane.router.orders;

import io.balsamlane.core.orders.EngineState;

/**
 * Outcome of reading the state of an engine.
 */
public sealed interface StateAnswer {

	/**
	 * The engine reported its state.
	 *
	 * @param state the state
	 */
	record Read(EngineState state) implements StateAnswer {
	}

	/**
	 * The engine gave no usable answer.
	 *
	 * @param message the cause
	 */
	record Unreadable(String message) implements StateAnswer {
	}

}
