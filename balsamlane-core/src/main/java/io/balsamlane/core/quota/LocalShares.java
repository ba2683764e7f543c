package io.balsamlane.core.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.balsamlane.core.model.CustomerId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides on the tokens of customers while no other router answers. Each router uses an
 * equal part of the rate that routers other than the owner may grant. Not thread-safe.
 */
public final class LocalShares {

	private static final int MAX_CUSTOMERS = 4096;

	/** A silent router is removed from the view by then, and another one is asked. */
	private static final long MAX_WAIT_NANOS = 3_000_000_000L;

	/** A share that was not used for this time starts with a random level again. */
	private static final long UNUSED_NANOS = 5_000_000_000L;

	private final QuotaTolerance tolerance;

	private final FleetSize fleet;

	private final UniformRandomProvider random;

	private final Map<CustomerId, Share> shares = new LinkedHashMap<>(16, 0.75f, true);

	private LocalShares(QuotaTolerance tolerance, FleetSize fleet, UniformRandomProvider random) {
		this.tolerance = tolerance;
		this.fleet = fleet;
		this.random = random;
	}

	/**
	 * Create shares.
	 * @param tolerance the tolerance of all quotas
	 * @param fleet size of the fleet
	 * @param random chooses the tokens that a share starts with
	 * @return the shares
	 */
	public static LocalShares create(QuotaTolerance tolerance, FleetSize fleet, UniformRandomProvider random) {
		return new LocalShares(tolerance, fleet, random);
	}

	/**
	 * Decide on a question.
	 * @param question the question
	 * @param nowNanos the monotonic time
	 * @return 0 if the tokens are granted, otherwise the time until there is room for
	 * them, in nanoseconds
	 */
	public long decide(QuotaQuestion question, long nowNanos) {
		Share share = this.shares.get(question.customer());
		if (share == null || nowNanos - share.usedNanos >= UNUSED_NANOS) {
			share = new Share(this.random.nextDouble() * question.tokens(), nowNanos);
			this.shares.put(question.customer(), share);
			if (this.shares.size() > MAX_CUSTOMERS) {
				Iterator<CustomerId> eldest = this.shares.keySet().iterator();
				eldest.next();
				eldest.remove();
			}
		}
		share.usedNanos = nowNanos;
		share.largestTokens = Math.max(share.largestTokens, question.tokens());
		share.bucket.configure(question.quota(),
				this.tolerance.substituteShare(question.quota()) / this.fleet.reference(nowNanos), share.largestTokens,
				nowNanos);
		return Math.min(share.bucket.take(question.tokens(), nowNanos), MAX_WAIT_NANOS);
	}

	/**
	 * Put the tokens of a granted question back.
	 * @param question the question
	 * @param nowNanos the monotonic time
	 */
	public void putBack(QuotaQuestion question, long nowNanos) {
		Share share = this.shares.get(question.customer());
		if (share != null) {
			share.bucket.putBack(question.tokens(), nowNanos);
		}
	}

	/**
	 * Share of one customer. A request may cost more than the share of several seconds.
	 * If all routers had tokens for one when the owner becomes silent, they would exceed
	 * the quota together; a random level makes the expected tokens of all routers equal
	 * to the sum of their shares.
	 */
	private static final class Share {

		private final QuotaBucket bucket;

		private long usedNanos;

		private long largestTokens;

		Share(double level, long nowNanos) {
			this.bucket = QuotaBucket.create(level, nowNanos);
		}

	}

}
