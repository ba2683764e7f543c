package io.balsamlane.router.store;

import java.util.List;
import java.util.Objects;

/**
 * Outcome of reading or watching keys of the platform store.
 */
public sealed interface PrefixRead {

	/**
	 * All keys with the prefix.
	 *
	 * @param items the keys with their values
	 * @param revision revision after which a watch sees each later change
	 */
	record Listed(List<Item> items, long revision) implements PrefixRead {
	}

	/**
	 * Changes, in their order; none if the wait ended without one.
	 *
	 * @param changes the changes
	 * @param revision revision up to which changes are known now
	 */
	record Changed(List<Item> changes, long revision) implements PrefixRead {
	}

	/**
	 * The store no longer has the history that a watch asked for.
	 */
	record HistoryLost() implements PrefixRead {
	}

	/**
	 * The store gave no usable answer.
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
		 * Tells whether the key was removed.
		 * @return true if it has no value
		 */
		public boolean removed() {
			return this.value == null;
		}

	}

}
