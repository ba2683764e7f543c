package io.balsamlane.standin.engine;

/**
 * Capacity model of the engine stand-in.
 * <p>
 * <b>Prefill</b> runs one prompt at a time, by descending priority and then in order of
 * arrival; a running prefill is not preempted by one of higher priority. It takes
 * {@code (tokens - reused) / prefillTokensPerSecond}, where {@code reused} is the number
 * of tokens in the leading blocks of {@value #BLOCK_TOKENS} tokens that the prefix cache
 * holds. The result is evicted {@code evictionMillis} after the prefill completes unless
 * an export has begun.
 * <p>
 * <b>Export</b> of a result takes {@code tokens * kvBytesPerToken / linkBytesPerSecond},
 * plus twice the one-way delay to the other engine. Exports share the link and run one
 * after the other.
 * <p>
 * <b>Decode</b> advances all sequences of an engine in one batch: a step takes
 * {@code stepMicros + sequences * stepPerSequenceMicros} and yields one token per
 * sequence. The first token is emitted in the first step after the import; one further
 * step ends the stream.
 * <p>
 * <b>Memory</b> is allocated in whole pieces of {@code pieceTokens}: for the prompt from
 * the arrival of a prefill to its export, eviction or cancellation; for prompt and
 * {@code maxTokens} from the arrival of a decode to its end. Requests that do not fit are
 * rejected.
 * <p>
 * The slow factor set as a fault multiplies the duration of prefills and steps. The model
 * computes the exact end of each prefill and step, and only the timers round to a
 * millisecond, so rounding shifts individual events but does not change the capacity.
 *
 * @param memoryPieces engine memory, in pieces
 * @param pieceTokens tokens in one piece
 * @param prefillTokensPerSecond prefill throughput
 * @param stepMicros fixed duration of a decode step, in microseconds
 * @param stepPerSequenceMicros additional duration of a step per sequence, in
 * microseconds
 * @param evictionMillis time for which a prefill result is kept, in milliseconds
 * @param kvBytesPerToken size of the KV cache of one token, in bytes
 * @param linkBytesPerSecond rate limit of KV export, in bytes per second
 * @param cacheBlocks capacity of the prefix cache, in blocks
 * @param reportLagMillis maximum age of load reports and delay of cache events, in
 * milliseconds
 */
public record EngineCapacity(int memoryPieces, int pieceTokens, int prefillTokensPerSecond, int stepMicros,
		int stepPerSequenceMicros, int evictionMillis, int kvBytesPerToken, long linkBytesPerSecond, int cacheBlocks,
		int reportLagMillis) {

	/** Tokens in one block of the prefix cache. */
	public static final int BLOCK_TOKENS = 256;

	/**
	 * Return the capacity used by the demo and the tests: the memory holds about twenty
	 * requests of two to three pieces each.
	 * @return the default capacity
	 */
	public static EngineCapacity ofDefaults() {
		return new EngineCapacity(60, 2048, 10_000, 12_000, 500, 800, 160_000, 10_000_000_000L, 4096, 500);
	}

	/**
	 * Return the number of memory pieces that a number of tokens occupies.
	 * @param tokens the number of tokens
	 * @return the number of pieces, at least one
	 */
	public int piecesFor(int tokens) {
		return Math.max(1, (tokens + this.pieceTokens - 1) / this.pieceTokens);
	}

}
