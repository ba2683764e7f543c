package io.balsamlane.router.engine;

/**
 * Event of a decode stream.
 */
public sealed interface DecodeEvent {

	/**
	 * The engine generated a token.
	 *
	 * @param offset position of the token in the answer, from 0
	 * @param text text of the token
	 */
	record Token(int offset, String text) implements DecodeEvent {
	}

	/**
	 * The answer is complete.
	 *
	 * @param reason {@code stop} or {@code length}
	 * @param length length of the whole answer, in tokens
	 */
	record Finished(String reason, int length) implements DecodeEvent {
	}

	/**
	 * The engine refused the request and holds no memory for the attempt.
	 *
	 * @param kind machine-readable error kind that the engine returned
	 */
	record Refused(String kind) implements DecodeEvent {
	}

	/**
	 * The stream ended before the answer was complete.
	 *
	 * @param message description of the cause
	 */
	record Broken(String message) implements DecodeEvent {
	}

	/**
	 * No connection could be opened, so the engine did not receive the request.
	 *
	 * @param message description of the cause
	 */
	record Unreachable(String message) implements DecodeEvent {
	}

}
