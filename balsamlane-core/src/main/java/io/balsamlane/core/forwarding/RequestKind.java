package io.balsamlane.core.forwarding;

/**
 * What may be repeated of a request, and the form of its answer.
 */
public enum RequestKind {

	/** May run any number of times. */
	IDEMPOTENT,

	/** May run at most once. */
	NON_IDEMPOTENT,

	/** An event stream that may run at most once. */
	STREAM,

	/** An event stream that may go on at another server after its last event. */
	RESUMABLE_STREAM;

	/**
	 * Tells whether a request may be sent again after it may have run.
	 * @return true if a second run is harmless
	 */
	public boolean repeatable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	/**
	 * Tells whether the answer is an event stream.
	 * @return true for both kinds of stream
	 */
	public boolean streams() {
		return this == STREAM || this == RESUMABLE_STREAM;
	}

}
