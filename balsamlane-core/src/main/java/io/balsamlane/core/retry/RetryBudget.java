package io.balsamlane.core.retry;

/**
 * Token bucket that limits retries to a share of the calls that callers requested. This
 * class is not thread-safe.
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
	 * Create a full budget.
	 * @param share retries allowed for each requested call, 0 to 1
	 * @param maxTokens maximum burst of retries, which is available from the start
	 * @return the budget
	 */
	public static RetryBudget create(double share, int maxTokens) {
		if (share < 0 || share > 1 || maxTokens < 1) {
			throw new IllegalArgumentException("Retry budget requires a share between 0 and 1 and at least one token");
		}
		return new RetryBudget(share, maxTokens);
	}

	/**
	 * Record a call requested by a caller, which adds its share to the budget.
	 */
	public void requested() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
	}

	/**
	 * Take one retry out of the budget.
	 * @return {@code false} if the budget is exhausted
	 */
	public boolean take() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
