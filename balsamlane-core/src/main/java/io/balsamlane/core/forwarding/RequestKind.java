package io.balsamlane.core.forwarding;

/**
 * Whether a request may be retried, and the form of its response.
 */
public enum RequestKind {

	/** A request that may run any number of times. */
	IDEMPOTENT,

	/** A request that may run at most once. */
	NON_IDEMPOTENT,

	/** An event stream that may run at most once. */
	STREAM,

	/** An event stream that another server can resume after the last event. */
	RESUMABLE_STREAM;

	/**
	 * Return whether a request may be sent again after it may have run.
	 * @return true if the request may run more than once
	 */
	public boolean repeatable() {
		return this == IDEMPOTENT || this == RESUMABLE_STREAM;
	}

	/**
	 * Return whether the response is an event stream.
	 * @return true for both kinds of stream
	 */
	public boolean streams() {
		return this == STREAM || this == RESUMABLE_STREAM;
	}

}
