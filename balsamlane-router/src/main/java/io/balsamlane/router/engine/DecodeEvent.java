package io.balsamlane.router.engine;

/**
 * What a decode stream yields.
 */
public sealed interface DecodeEvent {

	/**
	 * One token.
	 *
	 * @param offset position in the answer, from 0
	 * @param text text of the token
	 */
	record Token(int offset, String text) implements DecodeEvent {
	}

	/**
	 * The answer is complete.
	 *
	 * @param reason {@code stop} or {@code length}
	 * @param length tokens of the whole answer
	 */
	record Finished(String reason, int length) implements DecodeEvent {
	}

	/**
	 * The engine refused; it holds nothing for this attempt.
	 *
	 * @param kind stable kind that the engine gave
	 */
	record Refused(String kind) implements DecodeEvent {
	}

	/**
	 * The stream ended before the answer was complete.
	 *
	 * @param message the cause
	 */
	record Broken(String message) implements DecodeEvent {
	}

	/**
	 * No connection could be opened; the engine received nothing.
	 *
	 * @param message the cause
	 */
	record Unreachable(String message) implements DecodeEvent {
	}

}
