package io.balsamlane.core.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;

/**
 * Decides on the tokens of customers for all routers. Every router may be asked. For
 * customers that it does not own, it grants only the share of the rate that the tolerance
 * allows, because the owner may be granting at the same time. A router that becomes the
 * owner starts without the burst, because its predecessor may have granted it. Not
 * thread-safe.
 */
public final class QuotaOwner {

	/** Limit on the customers of a configuration. */
	private static final int MAX_CUSTOMERS = 4096;

	/** Bounds the memory; 240 requests a second fill it in 68 s. */
	private static final int MAX_GRANTS = 16_384;

	/** Longer than the time limit of any request that is returned. */
	private static final long GRANT_NANOS = 20_000_000_000L;

	private final QuotaTolerance tolerance;

	private final FleetSize fleet;

	private final Predicate<CustomerId> owns;

	private final Map<CustomerId, Account> accounts = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<GrantKey, Grant> grants = new LinkedHashMap<>();

	private QuotaOwner(QuotaTolerance tolerance, FleetSize fleet, Predicate<CustomerId> owns) {
		this.tolerance = tolerance;
		this.fleet = fleet;
		this.owns = owns;
	}

	/**
	 * Create an owner without any accounts.
	 * @param tolerance the tolerance of all quotas
	 * @param fleet size of the fleet
	 * @param owns returns whether this router owns a customer's quota in its own view
	 * @return the owner
	 */
	public static QuotaOwner create(QuotaTolerance tolerance, FleetSize fleet, Predicate<CustomerId> owns) {
		return new QuotaOwner(tolerance, fleet, owns);
	}

	/**
	 * Decide on a question.
	 * @param from the router that asks
	 * @param sequence identifies the question at that router
	 * @param question the question
	 * @param nowNanos the monotonic time
	 * @return 0 if the tokens are granted, otherwise the time until there is room for
	 * them, in nanoseconds
	 */
	public long decide(HostName from, long sequence, QuotaQuestion question, long nowNanos) {
		Account account = this.accounts.get(question.customer());
		if (account == null) {
			account = new Account(question, nowNanos);
			this.accounts.put(question.customer(), account);
			removeEldest(this.accounts, MAX_CUSTOMERS);
		}
		// A router may not have received the newest configuration yet.
		if (question.version() >= account.version) {
			account.version = question.version();
			account.quota = question.quota();
		}
		configure(question.customer(), account, nowNanos);
		long waitNanos = account.bucket.take(question.tokens(), nowNanos);
		if (waitNanos == 0) {
			expireGrants(nowNanos);
			this.grants.put(new GrantKey(from, sequence), new Grant(question.customer(), question.tokens(), nowNanos));
			removeEldest(this.grants, MAX_GRANTS);
		}
		return waitNanos;
	}

	/**
	 * Put the tokens of a granted question back. A question that was not granted, or
	 * whose tokens were already returned, has no effect.
	 * @param from the router that asked
	 * @param sequence identifies the question at that router
	 * @param nowNanos the monotonic time
	 * @return true if tokens were put back
	 */
	public boolean putBack(HostName from, long sequence, long nowNanos) {
		expireGrants(nowNanos);
		Grant grant = this.grants.remove(new GrantKey(from, sequence));
		Account account = (grant != null) ? this.accounts.get(grant.customer) : null;
		if (account == null) {
			return false;
		}
		account.bucket.putBack(grant.tokens, nowNanos);
		return true;
	}

	/**
	 * Apply a change of the members, which may change the ownership of quotas and the
	 * share of their rates.
	 * @param nowNanos the monotonic time
	 */
	public void membersChanged(long nowNanos) {
		this.accounts.forEach((customer, account) -> configure(customer, account, nowNanos));
	}

	private void configure(CustomerId customer, Account account, long nowNanos) {
		CustomerQuota quota = account.quota;
		if (this.owns.test(customer)) {
			account.bucket.configure(quota, this.fleet.share(quota, this.tolerance, nowNanos), quota.burstTokens(),
					nowNanos);
		}
		else {
			// This small capacity is also the one with which a new owner starts.
			account.bucket.configure(quota, this.tolerance.substituteShare(quota), this.tolerance.startTokens(quota),
					nowNanos);
		}
	}

	private void expireGrants(long nowNanos) {
		Iterator<Grant> oldest = this.grants.values().iterator();
		while (oldest.hasNext() && nowNanos - oldest.next().grantedNanos >= GRANT_NANOS) {
			oldest.remove();
		}
	}

	private static void removeEldest(Map<?, ?> map, int limit) {
		if (map.size() > limit) {
			Iterator<?> eldest = map.keySet().iterator();
			eldest.next();
			eldest.remove();
		}
	}

	private final class Account {

		private final QuotaBucket bucket;

		private CustomerQuota quota;

		private long version;

		Account(QuotaQuestion question, long nowNanos) {
			this.bucket = QuotaBucket.create(QuotaOwner.this.tolerance.startTokens(question.quota()), nowNanos);
			this.quota = question.quota();
			this.version = question.version();
		}

	}

	private record GrantKey(HostName from, long sequence) {
	}

	private record Grant(CustomerId customer, long tokens, long grantedNanos) {
	}

}
