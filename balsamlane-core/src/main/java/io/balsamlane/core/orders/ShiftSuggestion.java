package io.balsamlane.core.orders;

import io.balsamlane.schema.EngineRole;

/**
 * What a planner suggests for one scheduling domain.
 */
public sealed interface ShiftSuggestion {

	/**
	 * Leave the engines as they are.
	 */
	record Stay() implements ShiftSuggestion {
	}

	/**
	 * Change the role of one engine.
	 *
	 * @param to the role that it shall take
	 */
	record ChangeRole(EngineRole to) implements ShiftSuggestion {
	}

	/**
	 * Load the domain's model on an idle engine.
	 *
	 * @param role the role that it shall take
	 */
	record LoadOnIdle(EngineRole role) implements ShiftSuggestion {
	}

}
