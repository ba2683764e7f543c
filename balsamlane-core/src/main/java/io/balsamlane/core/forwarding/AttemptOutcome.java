package io.balsamlane.core.forwarding;

/**
 * Outcome of one attempt to run a request on a server.
 */
public sealed interface AttemptOutcome {

	/**
	 * No byte of the request was sent.
	 *
	 * @param reason the cause
	 */
	record NotSent(String reason) implements AttemptOutcome {
	}

	/**
	 * The server stated that it did not and will not run the request.
	 *
	 * @param status HTTP status of the response
	 */
	record NotRun(int status) implements AttemptOutcome {
	}

	/**
	 * The server returned a complete and valid response.
	 *
	 * @param status HTTP status of the response
	 */
	record Answered(int status) implements AttemptOutcome {
	}

	/**
	 * At least part of the request was sent, but no complete valid response was received.
	 * The request may have run.
	 *
	 * @param reason the cause
	 */
	record Broken(String reason) implements AttemptOutcome {
	}

}
