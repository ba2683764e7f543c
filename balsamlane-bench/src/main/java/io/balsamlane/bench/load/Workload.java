package io.balsamlane.bench.load;

import java.util.List;

/**
 * What callers send.
 * <p>
 * The length of a prompt is a shared prefix plus a part of its own, whose length is
 * log-normal and at most {@code 8 * ownTokensMedian}.
 *
 * @param model name of the model
 * @param callers bearer tokens of the callers
 * @param prefixes number of different shared prefixes
 * @param prefixTokens tokens of a shared prefix
 * @param ownTokensMedian median length of the part that no other prompt has, in tokens
 * @param ownTokensSigma standard deviation of the logarithm of that length
 * @param maxTokens limit of the answer, in tokens
 * @param cancelShare share of the requests that the caller cancels, 0 to 1
 */
public record Workload(String model, List<String> callers, int prefixes, int prefixTokens, int ownTokensMedian,
		double ownTokensSigma, int maxTokens, double cancelShare) {

	/** Longest own part of a prompt, in medians. */
	static final int LONGEST_OWN_PART_MEDIANS = 8;

	/**
	 * Returns the mean length of the own part, without its limit.
	 * @return the mean, in tokens
	 */
	public double ownTokensMean() {
		return this.ownTokensMedian * Math.exp(this.ownTokensSigma * this.ownTokensSigma / 2);
	}

	/**
	 * Returns the same workload with another share of cancelled requests.
	 * @param share share of the requests that the caller cancels, 0 to 1
	 * @return the changed workload
	 */
	public Workload withCancelShare(double share) {
		return new Workload(this.model, this.callers, this.prefixes, this.prefixTokens, this.ownTokensMedian,
				this.ownTokensSigma, this.maxTokens, share);
	}

}
