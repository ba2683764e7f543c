package io.balsamlane.bench.load;

import java.util.List;

/**
 * Describes the requests that customers send.
 * <p>
 * A prompt is a shared prefix followed by a part of its own, whose length is log-normally
 * distributed and at most {@code 8 * ownTokensMedian}.
 *
 * @param model name of the model
 * @param callers bearer tokens of the customers
 * @param prefixes number of different shared prefixes
 * @param prefixTokens number of tokens of a shared prefix
 * @param ownTokensMedian median length of the part that no other prompt has, in tokens
 * @param ownTokensSigma standard deviation of the logarithm of that length
 * @param maxTokens limit of the answer, in tokens
 * @param cancelShare share of the requests that the customer cancels, 0 to 1
 */
public record Workload(String model, List<String> callers, int prefixes, int prefixTokens, int ownTokensMedian,
		double ownTokensSigma, int maxTokens, double cancelShare) {

	/** Maximum length of the own part of a prompt, as a multiple of its median. */
	static final int LONGEST_OWN_PART_MEDIANS = 8;

	/**
	 * Return the mean length of the own part of a prompt, ignoring its maximum.
	 * @return the mean, in tokens
	 */
	public double ownTokensMean() {
		return this.ownTokensMedian * Math.exp(this.ownTokensSigma * this.ownTokensSigma / 2);
	}

	/**
	 * Return the same workload with another share of cancelled requests.
	 * @param share share of the requests that the customer cancels, 0 to 1
	 * @return the new workload
	 */
	public Workload withCancelShare(double share) {
		return new Workload(this.model, this.callers, this.prefixes, this.prefixTokens, this.ownTokensMedian,
				this.ownTokensSigma, this.maxTokens, share);
	}

}
