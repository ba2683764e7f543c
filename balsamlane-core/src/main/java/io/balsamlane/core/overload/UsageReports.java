package io.balsamlane.core.overload;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.forwarding.WorkScope;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;

/**
 * Collects the customers' requests that other routers have not been told of. In a large
 * fleet a router receives a few requests of a customer in a minute, so that it cannot
 * recognize by itself that the customer exceeds its usual load. A report that is lost is
 * not repeated, because the usage decays within seconds. Not thread-safe.
 */
public final class UsageReports {

	/** Bound of the customers in one report. */
	private static final int MAX_CUSTOMERS = 4096;

	/**
	 * Shortest time between two reports to a router that list customers; 16 customers
	 * take about 400 bytes.
	 */
	private static final long INTERVAL_NANOS = 500_000_000L;

	private final Map<HostName, Pending> receivers = new HashMap<>();

	private UsageReports() {
	}

	/**
	 * Create an instance without requests.
	 * @return the instance
	 */
	public static UsageReports create() {
		return new UsageReports();
	}

	/**
	 * Add a request that this router received.
	 * @param customer the customer
	 * @param tokens number of tokens that it needs
	 * @param targets the routers that receive reports
	 */
	public void addOwn(CustomerId customer, long tokens, Map<HostName, WorkScope> targets) {
		this.receivers.keySet().retainAll(targets.keySet());
		targets.keySet().forEach((host) -> pending(host).add(customer, tokens));
	}

	/**
	 * Add requests that another router has reported, for those that hear of them only
	 * from this router.
	 * @param from the router that has reported them
	 * @param reported scope of its report
	 * @param tokens number of tokens by customer
	 * @param targets the routers that receive reports, and the scope of these reports
	 */
	public void addReported(HostName from, WorkScope reported, Map<CustomerId, Long> tokens,
			Map<HostName, WorkScope> targets) {
		targets.forEach((host, scope) -> {
			boolean forward = switch (scope) {
				case OWN -> false;
				case REGION -> reported == WorkScope.OWN;
				case REST -> reported != WorkScope.REST;
			};
			if (forward && !host.equals(from)) {
				tokens.forEach(pending(host)::add);
			}
		});
	}

	/**
	 * Return whether a report to a router is due.
	 * @param receiver the router
	 * @param nowNanos the monotonic time
	 * @return true if {@link #take} returns customers
	 */
	public boolean due(HostName receiver, long nowNanos) {
		Pending pending = this.receivers.get(receiver);
		return pending != null && pending.due(nowNanos);
	}

	/**
	 * Take what a router has not been told of.
	 * @param receiver the router
	 * @param nowNanos the monotonic time
	 * @return number of tokens by customer, empty if the last report was too recent
	 */
	public Map<CustomerId, Long> take(HostName receiver, long nowNanos) {
		Pending pending = this.receivers.get(receiver);
		return (pending != null) ? pending.take(nowNanos) : Map.of();
	}

	private Pending pending(HostName host) {
		return this.receivers.computeIfAbsent(host, (key) -> new Pending());
	}

	private static final class Pending {

		private Map<CustomerId, Long> tokens = new HashMap<>();

		private boolean taken;

		private long takenNanos;

		void add(CustomerId customer, long more) {
			if (this.tokens.size() < MAX_CUSTOMERS || this.tokens.containsKey(customer)) {
				this.tokens.merge(customer, more, Long::sum);
			}
		}

		boolean due(long nowNanos) {
			return !this.tokens.isEmpty() && (!this.taken || nowNanos - this.takenNanos >= INTERVAL_NANOS);
		}

		Map<CustomerId, Long> take(long nowNanos) {
			if (!due(nowNanos)) {
				return Map.of();
			}
			Map<CustomerId, Long> result = this.tokens;
			this.tokens = new HashMap<>();
			this.taken = true;
			this.takenNanos = nowNanos;
			return result;
		}

	}

}
