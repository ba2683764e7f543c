package io.balsamlane.router.edge;

import java.util.Locale;

/**
 * Whether a request that ended with an error has run.
 */
public enum Ran {

	/** The request did not run. */
	NO,

	/** The request ran. */
	YES,

	/** The request may have run. */
	UNKNOWN;

	@Override
	public String toString() {
		return name().toLowerCase(Locale.ROOT);
	}

}
