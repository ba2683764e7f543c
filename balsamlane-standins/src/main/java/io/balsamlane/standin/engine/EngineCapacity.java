package io.balsamlane.standin.engine;

/**
 * Capacity model of the engine stand-in.
 * <p>
 * A prefill takes {@code tokens / prefillTokensPerSecond}, one at a time. A decode step
 * takes {@code stepMicros + sequences * stepPerSequenceMicros} and yields one token for
 * each sequence of the batch.
 *
 * @param memoryPieces engine memory, in pieces
 * @param pieceTokens tokens in one piece
 * @param prefillTokensPerSecond speed of prefill
 * @param stepMicros fixed time of a decode step, in microseconds
 * @param stepPerSequenceMicros time that each sequence adds to a step, in microseconds
 * @param evictionMillis time for which a prefill result is kept, in milliseconds
 * @param kvBytesPerToken size of the KV cache of one token
 * @param linkBytesPerSecond rate limit of KV export
 * @param cacheBlocks blocks of the prefix cache
 * @param reportLagMillis age of load reports and cache events, in milliseconds
 */
public record EngineCapacity(int memoryPieces, int pieceTokens, int prefillTokensPerSecond, int stepMicros,
		int stepPerSequenceMicros, int evictionMillis, int kvBytesPerToken, long linkBytesPerSecond, int cacheBlocks,
		int reportLagMillis) {

	/** Tokens in one block of the prefix cache. */
	public static final int BLOCK_TOKENS = 256;

	/**
	 * Returns the capacity used by the demo and the tests: about twenty requests of two
	 * to three pieces fit into the memory.
	 * @return the default capacity
	 */
	public static EngineCapacity ofDefaults() {
		return new EngineCapacity(60, 2048, 10_000, 12_000, 500, 800, 160_000, 10_000_000_000L, 4096, 500);
	}

	/**
	 * Returns the pieces that a number of tokens occupies.
	 * @param tokens the tokens
	 * @return the pieces, at least one
	 */
	public int piecesFor(int tokens) {
		return Math.max(1, (tokens + this.pieceTokens - 1) / this.pieceTokens);
	}

}
