package io.balsamlane.router.store;

import java.util.List;
import java.util.Objects;

/**
 * Outcome of reading or watching the keys with a prefix in the platform store.
 */
public sealed interface PrefixRead {

	/**
	 * All keys with the prefix.
	 *
	 * @param items the keys with their values
	 * @param revision the revision after which a watch returns all later changes
	 */
	record Listed(List<Item> items, long revision) implements PrefixRead {
	}

	/**
	 * Changes in the order in which they were made, none if the wait ended without one.
	 *
	 * @param changes the changes
	 * @param revision the revision up to which all changes are now known
	 */
	record Changed(List<Item> changes, long revision) implements PrefixRead {
	}

	/**
	 * The store no longer has the history that the watch requires.
	 */
	record HistoryLost() implements PrefixRead {
	}

	/**
	 * The store did not return a usable answer.
	 *
	 * @param message the cause
	 */
	record Unavailable(String message) implements PrefixRead {
	}

	/**
	 * A key and its value.
	 *
	 * @param key the key
	 * @param value the value, null if the key was removed
	 */
	record Item(String key, byte[] value) {

		public Item {
			Objects.requireNonNull(key, "key");
		}

		/**
		 * Return whether the key was removed.
		 * @return true if it has no value
		 */
		public boolean removed() {
			return this.value == null;
		}

	}

}
