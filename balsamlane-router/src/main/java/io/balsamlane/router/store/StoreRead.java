package io.balsamlane.router.store;

import java.util.Objects;

/**
 * Outcome of reading or watching a key of the platform store.
 */
public sealed interface StoreRead {

	/**
	 * The key has a value.
	 *
	 * @param value the value
	 * @param version the version of the value, above 0
	 */
	record Found(byte[] value, long version) implements StoreRead {

		public Found {
			Objects.requireNonNull(value, "value");
		}

	}

	/**
	 * The key has no value.
	 */
	record Absent() implements StoreRead {
	}

	/**
	 * A watch ended without a change.
	 */
	record Unchanged() implements StoreRead {
	}

	/**
	 * The store did not return a usable answer.
	 *
	 * @param message the cause
	 */
	record Unavailable(String message) implements StoreRead {
	}

}
