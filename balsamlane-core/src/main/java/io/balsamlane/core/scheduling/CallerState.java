package io.balsamlane.core.scheduling;

/**
 * What a scheduler knows of one caller: its share, its quota and the length of its
 * answers.
 */
final class CallerState {

	private static final double LENGTH_GAIN = 0.1;

	/** Domain time that the caller has used, in nanoseconds; the least goes first. */
	double virtualNanos;

	/** Domain time of its waiting requests, in nanoseconds. */
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
	 * Estimates the length of an answer: two mean deviations above the mean, which few
	 * answers exceed.
	 * @param model estimate over all callers, used while this one is new
	 * @param maxTokens limit of the request
	 * @return the tokens
	 */
	int estimate(CallerState model, int maxTokens) {
		CallerState source = (this.meanTokens >= 0) ? this : model;
		if (source.meanTokens < 0) {
			return maxTokens;
		}
		return (int) Math.max(1, Math.min(maxTokens, Math.ceil(source.meanTokens + 2 * source.deviationTokens)));
	}

	boolean idle() {
		return this.waiting == 0 && this.live == 0;
	}

}
