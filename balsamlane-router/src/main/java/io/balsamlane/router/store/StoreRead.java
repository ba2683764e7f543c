package io.balsamlane.router.store;

import java.util.Objects;

/**
 * Outcome of reading a key of the platform store.
 */
public sealed interface StoreRead {

	/**
	 * The key has a value.
	 *
	 * @param value the value
	 * @param version version of the value, above 0
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
	 * The store gave no usable answer.
	 *
	 * @param message the cause
	 */
	record Unavailable(String message) implements StoreRead {
	}

}
