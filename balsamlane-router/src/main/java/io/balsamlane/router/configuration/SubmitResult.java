package io.balsamlane.router.configuration;

import io.balsamlane.core.configuration.EditResult;

/**
 * Outcome of submitting a change of the configuration.
 */
public sealed interface SubmitResult {

	/**
	 * The change is stored.
	 *
	 * @param revision revision that contains it
	 */
	record Stored(long revision) implements SubmitResult {
	}

	/**
	 * The change cannot be accepted as it is.
	 *
	 * @param reason a conflict or an error
	 */
	record Refused(EditResult reason) implements SubmitResult {
	}

	/**
	 * The change was not stored, because the store cannot be reached.
	 *
	 * @param message the cause
	 */
	record StoreUnavailable(String message) implements SubmitResult {
	}

	/**
	 * The change was not stored, because the store holds an older document than the one
	 * in force, or a damaged one.
	 *
	 * @param message the cause and its remedy
	 */
	record StoreRegressed(String message) implements SubmitResult {
	}

	/**
	 * The change may be stored; submitting it again with the same id is safe.
	 *
	 * @param message the cause
	 */
	record Undecided(String message) implements SubmitResult {
	}

}
