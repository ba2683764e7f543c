package io.balsamlane.core.orders;

import io.balsamlane.schema.EngineRole;

/**
 * Change that a {@link RoleShiftPlanner} suggests for one scheduling domain.
 */
public sealed interface ShiftSuggestion {

	/**
	 * No change is needed.
	 */
	record NoChange() implements ShiftSuggestion {
	}

	/**
	 * Change the role of one engine.
	 *
	 * @param to the new role of the engine
	 */
	record ChangeRole(EngineRole to) implements ShiftSuggestion {
	}

	/**
	 * Load the domain's model on an idle engine.
	 *
	 * @param role the role of the engine
	 */
	record LoadOnIdle(EngineRole role) implements ShiftSuggestion {
	}

}
