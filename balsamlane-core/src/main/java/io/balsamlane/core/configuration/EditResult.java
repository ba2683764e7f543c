package io.balsamlane.core.configuration;

import io.balsamlane.schema.Configuration;

/**
 * Outcome of editing a configuration.
 */
public sealed interface EditResult {

	/**
	 * The change is valid; the configuration may be offered to the store.
	 *
	 * @param configuration the next configuration
	 */
	record Edited(Configuration configuration) implements EditResult {
	}

	/**
	 * The same change was accepted before.
	 *
	 * @param revision revision that accepted it
	 */
	record AlreadyAccepted(long revision) implements EditResult {
	}

	/**
	 * An object was changed since the editor read it.
	 *
	 * @param object kind and name of the object
	 * @param expectedRevision revision that the editor saw, 0 if it saw none
	 * @param actualRevision revision of the object now, 0 if it does not exist
	 */
	record Conflict(String object, long expectedRevision, long actualRevision) implements EditResult {
	}

	/**
	 * The change contains an error.
	 *
	 * @param message what is wrong and how to correct it
	 */
	record Invalid(String message) implements EditResult {
	}

}
