package io.balsamlane.router.engine;

/**
 * Outcome of a prefill.
 */
public sealed interface PrefillResult {

	/**
	 * The KV cache is ready to be imported by a decode engine.
	 *
	 * @param kvHandle handle of the KV cache on the prefill engine
	 * @param promptTokens tokens of the prompt
	 * @param reusedTokens tokens found in the prefix cache
	 */
	record Ready(String kvHandle, int promptTokens, int reusedTokens) implements PrefillResult {
	}

	/**
	 * The engine refused; nothing ran.
	 *
	 * @param kind stable kind that the engine gave
	 */
	record Refused(String kind) implements PrefillResult {
	}

	/**
	 * The connection broke or the answer did not come in time.
	 *
	 * @param message the cause
	 */
	record Broken(String message) implements PrefillResult {
	}

	/**
	 * No connection could be opened; the engine received nothing.
	 *
	 * @param message the cause
	 */
	record Unreachable(String message) implements PrefillResult {
	}

}
