package io.balsamlane.router.store;

/**
 * Outcome of an operation on a lease of the platform store.
 */
public sealed interface StoreLease {

	/**
	 * The lease was granted.
	 *
	 * @param lease the lease
	 */
	record Granted(long lease) implements StoreLease {
	}

	/**
	 * The lease was renewed.
	 */
	record Renewed() implements StoreLease {
	}

	/**
	 * The lease was revoked.
	 */
	record Revoked() implements StoreLease {
	}

	/**
	 * The lease has ended.
	 */
	record Gone() implements StoreLease {
	}

	/**
	 * No answer was received; the operation may have taken effect or may still do so.
	 *
	 * @param message the cause
	 */
	record Undecided(String message) implements StoreLease {
	}

}
