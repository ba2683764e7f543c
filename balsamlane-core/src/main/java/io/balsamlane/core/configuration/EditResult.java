package io.balsamlane.core.configuration;

import io.balsamlane.schema.Configuration;

/**
 * Outcome of editing a configuration.
 */
public sealed interface EditResult {

	/**
	 * The change is valid, so that the resulting configuration may be written to the
	 * store.
	 *
	 * @param configuration the resulting configuration
	 */
	record Edited(Configuration configuration) implements EditResult {
	}

	/**
	 * The same change has already been accepted.
	 *
	 * @param revision revision that contains the change
	 */
	record AlreadyAccepted(long revision) implements EditResult {
	}

	/**
	 * An object has been modified since the author of the change read it.
	 *
	 * @param object kind and name of the object
	 * @param expectedRevision object revision that the author read, 0 if the object did
	 * not exist
	 * @param actualRevision current object revision, 0 if the object does not exist
	 */
	record Conflict(String object, long expectedRevision, long actualRevision) implements EditResult {
	}

	/**
	 * The change is invalid.
	 *
	 * @param message the error and how to correct it
	 */
	record Invalid(String message) implements EditResult {
	}

}
