package io.balsamlane.core.forwarding;

/**
 * Where a model request is to run.
 */
public sealed interface EngineChoice {

	/**
	 * The prompt is read and the tokens are generated on one decode engine.
	 *
	 * @param decode the engine
	 * @param firstEventMillis expected time until the first event
	 */
	record Whole(ListedServer decode, double firstEventMillis) implements EngineChoice {
	}

	/**
	 * The prompt is read on a prefill engine, and its KV cache moves to a decode engine.
	 *
	 * @param prefill the engine that reads the prompt
	 * @param decode the engine that generates
	 * @param firstEventMillis expected time until the first event
	 */
	record Split(ListedServer prefill, ListedServer decode, double firstEventMillis) implements EngineChoice {
	}

	/**
	 * Every decode engine is full; one may have room soon.
	 *
	 * @param engines number of decode engines that were considered
	 */
	record Full(int engines) implements EngineChoice {
	}

	/**
	 * No engine can answer in time.
	 *
	 * @param reason the cause
	 * @param retryAfterMillis time after which an engine is expected to
	 */
	record None(String reason, long retryAfterMillis) implements EngineChoice {
	}

}
