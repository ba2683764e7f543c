package io.balsamlane.core.retry;

/**
 * Bounds repeated work to a share of the work that callers requested. Not safe for use by
 * several threads.
 */
public final class RetryBudget {

	private final double share;

	private final double maxTokens;

	private double tokens;

	private RetryBudget(double share, double maxTokens) {
		this.share = share;
		this.maxTokens = maxTokens;
		this.tokens = maxTokens;
	}

	/**
	 * Creates a full budget.
	 * @param share repeated calls for each requested call, 0 to 1
	 * @param maxTokens most repeated calls at once, also allowed before the first call
	 * @return the budget
	 */
	public static RetryBudget create(double share, int maxTokens) {
		if (share < 0 || share > 1 || maxTokens < 1) {
			throw new IllegalArgumentException("A retry budget needs a share of 0 to 1 and at least one token");
		}
		return new RetryBudget(share, maxTokens);
	}

	/**
	 * Notes a call that a caller requested.
	 */
	public void requested() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
	}

	/**
	 * Takes one repeated call out of the budget.
	 * @return false if the budget is used up
	 */
	public boolean take() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
