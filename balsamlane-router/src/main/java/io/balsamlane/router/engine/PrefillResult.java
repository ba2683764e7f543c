package io.balsamlane.router.engine;

/**
 * Result of a prefill request.
 */
public sealed interface PrefillResult {

	/**
	 * The KV cache is ready for import by a decode engine.
	 *
	 * @param kvHandle handle of the KV cache on the prefill engine
	 * @param promptTokens length of the prompt, in tokens
	 * @param reusedTokens number of tokens found in the prefix cache
	 */
	record Ready(String kvHandle, int promptTokens, int reusedTokens) implements PrefillResult {
	}

	/**
	 * The engine refused the request and did not run it.
	 *
	 * @param kind machine-readable error kind that the engine returned
	 */
	record Refused(String kind) implements PrefillResult {
	}

	/**
	 * The connection broke, or the answer could not be read.
	 *
	 * @param message description of the cause
	 */
	record Broken(String message) implements PrefillResult {
	}

	/**
	 * No connection could be opened, so the engine did not receive the request.
	 *
	 * @param message description of the cause
	 */
	record Unreachable(String message) implements PrefillResult {
	}

}
