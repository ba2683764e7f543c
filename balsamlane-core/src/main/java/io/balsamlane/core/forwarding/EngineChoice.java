package io.balsamlane.core.forwarding;

/**
 * Result of selecting the engines for a model request.
 */
public sealed interface EngineChoice {

	/**
	 * Prefill and decoding run on the same decode engine.
	 *
	 * @param decode the engine
	 * @param firstEventMillis expected time until the first event
	 */
	record Colocated(ListedServer decode, double firstEventMillis) implements EngineChoice {
	}

	/**
	 * Prefill runs on a prefill engine, and the KV cache is transferred to a decode
	 * engine.
	 *
	 * @param prefill the engine that runs the prefill
	 * @param decode the engine that generates the tokens
	 * @param firstEventMillis expected time until the first event
	 */
	record Disaggregated(ListedServer prefill, ListedServer decode, double firstEventMillis) implements EngineChoice {
	}

	/**
	 * Every decode engine is at capacity; capacity may become available soon.
	 *
	 * @param engines number of decode engines considered
	 */
	record Full(int engines) implements EngineChoice {
	}

	/**
	 * No engine can respond in time.
	 *
	 * @param reason the cause
	 * @param retryAfterMillis time after which an engine is expected to respond in time
	 */
	record NoEngine(String reason, long retryAfterMillis) implements EngineChoice {
	}

}
