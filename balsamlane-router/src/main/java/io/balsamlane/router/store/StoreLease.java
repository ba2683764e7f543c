package io.balsamlane.router.store;

/**
 * Outcome of a call about a lease of the platform store.
 */
public sealed interface StoreLease {

	/**
	 * The lease is granted.
	 *
	 * @param lease the lease
	 */
	record Granted(long lease) implements StoreLease {
	}

	/**
	 * The lease is renewed.
	 */
	record Renewed() implements StoreLease {
	}

	/**
	 * The lease is revoked.
	 */
	record Revoked() implements StoreLease {
	}

	/**
	 * The lease has ended.
	 */
	record Gone() implements StoreLease {
	}

	/**
	 * The answer is lost; the call may have taken effect or may yet do so.
	 *
	 * @param message the cause
	 */
	record Undecided(String message) implements StoreLease {
	}

}
