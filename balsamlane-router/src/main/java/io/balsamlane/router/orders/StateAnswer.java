package io.balsamlane.router.orders;

import io.balsamlane.core.orders.EngineState;

/**
 * Result of reading the state of an engine.
 */
public sealed interface StateAnswer {

	/**
	 * The engine reported its state.
	 *
	 * @param state state of the engine
	 */
	record Read(EngineState state) implements StateAnswer {
	}

	/**
	 * The engine returned no usable answer.
	 *
	 * @param message description of the cause
	 */
	record Unreadable(String message) implements StateAnswer {
	}

}
