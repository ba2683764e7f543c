package io.balsamlane.standin.engine;

/**
 * Capacity model of the engine stand-in.
 * <p>
 * <b>Prefill</b> runs one prompt at a time, larger priority first and then in order of
 * arrival; a running prefill is not interrupted by a more urgent one. It takes
 * {@code (tokens - reused) / prefillTokensPerSecond}, where {@code reused} are the tokens
 * of the leading blocks of {@value #BLOCK_TOKENS} tokens that the prefix cache holds. The
 * result is evicted {@code evictionMillis} after its end unless an export has begun.
 * <p>
 * <b>Export</b> of a result takes {@code tokens * kvBytesPerToken / linkBytesPerSecond},
 * one after the other, plus twice the one-way delay if the other engine is far.
 * <p>
 * <b>Decode</b> advances all sequences of an engine together: a step takes
 * {@code stepMicros + sequences * stepPerSequenceMicros} and yields one token for each
 * sequence. The first token comes with the first step after the import; one more step
 * ends the stream.
 * <p>
 * <b>Memory</b> is taken in whole pieces of {@code pieceTokens}: for the prompt from the
 * arrival of a prefill to its export, eviction or cancellation; for prompt and
 * {@code maxTokens} from the arrival of a decode to its end. What does not fit is
 * refused.
 * <p>
 * The slow factor of a fault multiplies the time of prefills and steps. Prefills and
 * steps are scheduled at their exact ends by the model, and each timer rounds to a
 * millisecond, so rounding shifts single events but not the capacity.
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
