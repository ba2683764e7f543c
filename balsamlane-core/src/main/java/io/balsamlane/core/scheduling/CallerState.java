package io.balsamlane.core.scheduling;

/**
 * Scheduling state of one caller: its fair share, its quotas and statistics of the length
 * of its responses.
 */
final class CallerState {

	private static final double LENGTH_GAIN = 0.1;

	/**
	 * Virtual time for fair queueing: the total cost of the granted requests of the
	 * caller, in nanoseconds. The caller with the lowest value is served first.
	 */
	double virtualNanos;

	/** Total cost of the queued requests of the caller, in nanoseconds. */
	double waitingNanos;

	int waiting;

	int live;

	final TokenBucket requests = new TokenBucket();

	final TokenBucket tokens = new TokenBucket();

	private double meanTokens = -1;

	private double deviationTokens;

	void observeLength(int generated) {
		if (this.meanTokens < 0) {
			this.meanTokens = generated;
			this.deviationTokens = generated / 4.0;
			return;
		}
		double error = generated - this.meanTokens;
		this.meanTokens += LENGTH_GAIN * error;
		this.deviationTokens += LENGTH_GAIN * (Math.abs(error) - this.deviationTokens);
	}

	/**
	 * Estimate the length of a response as the mean plus two mean absolute deviations,
	 * which few responses exceed.
	 * @param allCallers statistics over all callers, used until this caller has its own
	 * @param maxTokens maximum number of tokens of the request
	 * @return the estimated number of tokens
	 */
	int estimate(CallerState allCallers, int maxTokens) {
		CallerState source = (this.meanTokens >= 0) ? this : allCallers;
		if (source.meanTokens < 0) {
			return maxTokens;
		}
		return (int) Math.max(1, Math.min(maxTokens, Math.ceil(source.meanTokens + 2 * source.deviationTokens)));
	}

	boolean idle() {
		return this.waiting == 0 && this.live == 0;
	}

}
