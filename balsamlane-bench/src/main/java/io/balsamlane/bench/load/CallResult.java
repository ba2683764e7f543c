package io.balsamlane.bench.load;

/**
 * Result of one request as its customer saw it.
 *
 * @param call the request
 * @param outcome how the request ended
 * @param errorKind kind of the refusal or error; empty if there is none
 * @param notRun whether the answer says that the request did not run
 * @param firstTokenNanos time from the due time to the first token; -1 if no token
 * arrived
 * @param meanGapNanos mean time between tokens; 0 with fewer than two tokens
 * @param p95GapNanos 95th percentile of the times between tokens; 0 with fewer than two
 * @param endNanos time of the end, as {@link System#nanoTime()}
 * @param tokens tokens received
 */
public record CallResult(ModelCall call, Outcome outcome, String errorKind, boolean notRun, long firstTokenNanos,
		long meanGapNanos, long p95GapNanos, long endNanos, int tokens) {

	/**
	 * Ways in which a request ends.
	 */
	public enum Outcome {

		/** The complete and correct answer arrived. */
		COMPLETE,
		/** The answer ended as complete, but is not the expected one. */
		WRONG,
		/** The request was refused or failed. */
		ERROR,
		/** The customer cancelled the request. */
		CANCELLED,
		/** The request was still open when the load generator stopped waiting. */
		UNFINISHED

	}

	/**
	 * Return whether the answer is complete and meets both latency targets.
	 * @param targets the latency targets
	 * @return {@code true} if the request counts towards goodput
	 */
	public boolean good(Targets targets) {
		return this.outcome == Outcome.COMPLETE && this.firstTokenNanos <= targets.firstTokenNanos()
				&& this.meanGapNanos <= targets.betweenTokensNanos();
	}

	/**
	 * Latency targets.
	 *
	 * @param firstTokenNanos longest time to the first token
	 * @param betweenTokensNanos longest mean time between the tokens of one answer
	 */
	public record Targets(long firstTokenNanos, long betweenTokensNanos) {

		/**
		 * Return the targets of the design scale: 1.1 s and 35 ms.
		 * @return the targets
		 */
		public static Targets ofDesign() {
			return new Targets(1_100_000_000L, 35_000_000L);
		}

	}

}
