package io.balsamlane.core.scheduling;

/**
 * Load report of an engine; it describes the engine some time ago. A field that the
 * engine does not report is 0.
 *
 * @param engine name of the engine
 * @param memoryPieces engine memory, in pieces
 * @param usedPieces allocated memory, in pieces
 * @param prefillTokensPerSecond nominal speed of prefill
 * @param kvBytesPerToken size of the KV cache of one token
 * @param linkBytesPerSecond rate limit of the link that exports KV cache
 */
public record EngineLoad(String engine, int memoryPieces, int usedPieces, int prefillTokensPerSecond,
		int kvBytesPerToken, long linkBytesPerSecond) {
}
