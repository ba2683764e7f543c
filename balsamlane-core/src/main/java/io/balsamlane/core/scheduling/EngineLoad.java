package io.balsamlane.core.scheduling;

/**
 * Load report of an engine, which lags behind its current state. A field that the engine
 * does not report is 0.
 *
 * @param engine name of the engine
 * @param memoryPieces engine memory, in pieces
 * @param usedPieces allocated memory, in pieces
 * @param prefillTokensPerSecond nominal prefill speed, in tokens per second
 * @param kvBytesPerToken KV cache size of one token, in bytes
 * @param linkBytesPerSecond rate limit of the link that exports the KV cache, in bytes
 * per second
 */
public record EngineLoad(String engine, int memoryPieces, int usedPieces, int prefillTokensPerSecond,
		int kvBytesPerToken, long linkBytesPerSecond) {
}
