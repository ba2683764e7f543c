package io.balsamlane.core.quota;

import io.balsamlane.core.forwarding.CustomerQuota;

/**
 * Tokens by which a customer may exceed its quota in one window, and how they are divided
 * between the situations in which no single router knows all that was admitted.
 *
 * @param windowSeconds length of the window in seconds
 * @param excess share of the window's tokens that may be used in addition
 * @param tokens tokens that may be used in addition
 */
public record QuotaTolerance(double windowSeconds, double excess, long tokens) {

	/** The platform's bounds. */
	public static final QuotaTolerance DEFAULT = new QuotaTolerance(8, 0.1, 140_000);

	/**
	 * Share of the tolerance that a new owner starts with. Several may start in one
	 * window.
	 */
	private static final double START_SHARE = 1 / 16.0;

	/** Share of the tolerance for decisions while the owner does not answer. */
	private static final double SUBSTITUTE_SHARE = 0.5;

	/** Time until routers remove a silent member from their view, with some margin. */
	private static final double REMOVAL_SECONDS = 2.5;

	/** Share of the tolerance for the larger part of a partitioned fleet. */
	private static final double MAJORITY_SHARE = 0.15;

	public QuotaTolerance {
		if (windowSeconds <= 0 || excess < 0 || tokens < 0) {
			throw new IllegalArgumentException("The tolerance of quotas is negative or has no window");
		}
	}

	/**
	 * Return the tokens that a customer may use in one window.
	 * @param quota quota of the customer
	 * @return the number of tokens, including the tolerance
	 */
	public double limit(CustomerQuota quota) {
		return windowTokens(quota) * (1 + this.excess) + this.tokens;
	}

	private double windowTokens(CustomerQuota quota) {
		return quota.tokensPerSecond() * this.windowSeconds + quota.burstTokens();
	}

	private double slack(CustomerQuota quota) {
		return windowTokens(quota) * this.excess + this.tokens;
	}

	/**
	 * Return the tokens that a router may grant at once when it becomes the owner. It
	 * does not know what its predecessor granted, so these come from the tolerance.
	 * @param quota quota of the customer
	 * @return the number of tokens, at most the burst
	 */
	double startTokens(CustomerQuota quota) {
		return Math.min(quota.burstTokens(), slack(quota) * START_SHARE);
	}

	/**
	 * Return the share of the rate that may be granted in total by routers that are not
	 * the owner. The owner may be granting at the full rate to other routers.
	 * @param quota quota of the customer
	 * @return the share, from 0 to 1
	 */
	double substituteShare(CustomerQuota quota) {
		return Math.min(1, SUBSTITUTE_SHARE * slack(quota) / (REMOVAL_SECONDS * quota.tokensPerSecond()));
	}

	/**
	 * Return the share of the rate that the larger part of a partitioned fleet may use in
	 * addition to its share of the routers.
	 * @param quota quota of the customer
	 * @return the share
	 */
	double majorityShare(CustomerQuota quota) {
		return MAJORITY_SHARE * slack(quota) / (this.windowSeconds * quota.tokensPerSecond());
	}

}
