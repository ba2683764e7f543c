package io.balsamlane.router.store;

/**
 * Outcome of a compare-and-set or a delete in the platform store.
 */
public sealed interface StoreWrite {

	/**
	 * The write took effect.
	 *
	 * @param version the version of the new value
	 */
	record Written(long version) implements StoreWrite {
	}

	/**
	 * The write did not take effect because the value has another version.
	 *
	 * @param actualVersion the version of the value, 0 if the key has none
	 */
	record Mismatch(long actualVersion) implements StoreWrite {
	}

	/**
	 * The write did not take effect for another reason.
	 *
	 * @param message the cause
	 */
	record Rejected(String message) implements StoreWrite {
	}

	/**
	 * The write did not take effect because the lease that it names has ended.
	 */
	record LeaseGone() implements StoreWrite {
	}

	/**
	 * No answer was received; the write may have taken effect or may still do so.
	 *
	 * @param message the cause
	 */
	record Undecided(String message) implements StoreWrite {
	}

}
