package io.balsamlane.core.forwarding;

/**
 * How one attempt to run a request on a server ended.
 */
public sealed interface AttemptOutcome {

	/**
	 * No byte of the request left this process.
	 *
	 * @param reason the cause
	 */
	record NotSent(String reason) implements AttemptOutcome {
	}

	/**
	 * The server stated that it did not and will not run the request.
	 *
	 * @param status status of its answer
	 */
	record NotRun(int status) implements AttemptOutcome {
	}

	/**
	 * The server gave a whole and valid answer.
	 *
	 * @param status status of the answer
	 */
	record Answered(int status) implements AttemptOutcome {
	}

	/**
	 * The request was sent, at least in part, and no whole valid answer came back. It may
	 * have run.
	 *
	 * @param reason the cause
	 */
	record Broken(String reason) implements AttemptOutcome {
	}

}
