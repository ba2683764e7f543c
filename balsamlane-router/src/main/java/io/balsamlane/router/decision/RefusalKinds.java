package io.balsamlane.router.decision;

/**
 * Kinds of refusals from a scheduler to an entry router. Only {@link #OVERLOADED} is
 * reported to callers.
 */
final class RefusalKinds {

	/** The request is still queued; the entry router repeats it. */
	static final String WAITING = "waiting";

	/** This router does not own the domain. */
	static final String NOT_OWNER = "not-owner";

	/** The queue of the decision thread or of deferred requests is full. */
	static final String OVERLOADED = "overloaded";

	static final int RETRY_AFTER_MILLIS = 500;

	private RefusalKinds() {
	}

}
