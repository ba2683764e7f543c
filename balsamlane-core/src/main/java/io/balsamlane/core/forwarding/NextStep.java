package io.balsamlane.core.forwarding;

/**
 * Action to take when an attempt has ended.
 */
public enum NextStep {

	/** Forward the server's response to the caller. */
	RELAY,

	/** Retry the request on another server. */
	TRY_AGAIN,

	/** Reject the request; the caller is told that it has not run and will not run. */
	REFUSE,

	/** Fail the request; the caller is told that it may have run. */
	FAIL

}
