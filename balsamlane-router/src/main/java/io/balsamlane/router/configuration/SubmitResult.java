package io.balsamlane.router.configuration;

import io.balsamlane.core.configuration.EditResult;

/**
 * The outcome of submitting a configuration change.
 */
public sealed interface SubmitResult {

	/**
	 * The change is stored.
	 *
	 * @param revision the revision that contains the change
	 */
	record Stored(long revision) implements SubmitResult {
	}

	/**
	 * The change was rejected because of a conflict or an error.
	 *
	 * @param reason the conflict or error
	 */
	record Refused(EditResult reason) implements SubmitResult {
	}

	/**
	 * The change was not stored because the store is unreachable or rejected the write,
	 * or because other changes were stored first in every attempt.
	 *
	 * @param message the cause
	 */
	record StoreUnavailable(String message) implements SubmitResult {
	}

	/**
	 * The change was not stored because the store holds an older document than the one in
	 * force, or a document that cannot be parsed.
	 *
	 * @param message the cause and the remedy
	 */
	record StoreRegressed(String message) implements SubmitResult {
	}

	/**
	 * The change may have been stored or may still be; submitting it again with the same
	 * id is safe.
	 *
	 * @param message the cause
	 */
	record Undecided(String message) implements SubmitResult {
	}

}
