package io.balsamlane.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;

/**
 * The routers that decide on customers' quotas in one view of the members: the owner, and
 * its deputy, which is asked while the owner does not answer and becomes the owner when
 * it is removed from the view. Not thread-safe.
 */
public final class QuotaOwners {

	private static final int MAX_CUSTOMERS = 4096;

	/**
	 * If a quarter of the routers die at once or a third is cut off, all three are lost
	 * for 2% or 4% of the customers.
	 */
	private static final int CANDIDATES = 3;

	private final MemberView view;

	private final Map<CustomerId, List<HostName>> candidates = new HashMap<>();

	private QuotaOwners(MemberView view) {
		this.view = view;
	}

	/**
	 * Create the owners of a view.
	 * @param view the members
	 * @return the owners
	 */
	public static QuotaOwners of(MemberView view) {
		return new QuotaOwners(view);
	}

	/**
	 * Return the owner of a customer's quota, followed by its deputies.
	 * @param customer the customer
	 * @return at most three routers, empty if there is no member
	 */
	public List<HostName> candidates(CustomerId customer) {
		List<HostName> known = this.candidates.get(customer);
		if (known == null) {
			if (this.candidates.size() >= MAX_CUSTOMERS) {
				this.candidates.clear();
			}
			known = find("quota/" + customer.value());
			this.candidates.put(customer, known);
		}
		return known;
	}

	private List<HostName> find(String key) {
		List<HostName> found = new ArrayList<>();
		for (int rank = 0; rank < CANDIDATES; rank++) {
			this.view.owner(key, (member) -> !found.contains(member.host()))
				.ifPresent((member) -> found.add(member.host()));
		}
		return List.copyOf(found);
	}

	/**
	 * Return whether a router is the owner of a customer's quota.
	 * @param customer the customer
	 * @param host the router
	 * @return true if it is the owner
	 */
	public boolean owns(CustomerId customer, HostName host) {
		return candidates(customer).stream().findFirst().filter(host::equals).isPresent();
	}

}
