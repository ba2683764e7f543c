package io.balsamlane.router.decision;

/**
 * Refusal kinds between scheduler and entry router that no caller sees.
 */
final class Kinds {

	/** The request waits in the queue; ask again. */
	static final String WAITING = "waiting";

	/** This router does not own the domain. */
	static final String NOT_OWNER = "not-owner";

	/** The ring of the decision thread, or a bound of its tables, is full. */
	static final String OVERLOADED = "overloaded";

	static final int RETRY_MILLIS = 500;

	private Kinds() {
	}

}
