package io.balsamlane.core.retry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;

/**
 * Assigns the audit of each engine to one router and maps running attempts to the routers
 * that started them, so that orphaned attempts can be found.
 * <p>
 * A router is presumed dead after {@value #FAILURES_UNTIL_DEAD} consecutive calls that
 * definitely did not reach it. The membership table is too slow for this purpose: it
 * detects a failure after about 3 s, but engine memory must be released within 2 s. This
 * class is not thread-safe.
 */
public final class EngineAudit {

	/** Consecutive undelivered calls after which a router is presumed dead. */
	public static final int FAILURES_UNTIL_DEAD = 2;

	private static final int STANDBY_ROUTERS = 2;

	private final Map<HostName, Integer> deliveryFailures = new HashMap<>();

	private final int maxHosts;

	private EngineAudit(int maxHosts) {
		this.maxHosts = maxHosts;
	}

	/**
	 * Create an instance without recorded failures.
	 * @param maxHosts maximum number of unreachable routers that are tracked
	 * @return the new instance
	 */
	public static EngineAudit create(int maxHosts) {
		return new EngineAudit(maxHosts);
	}

	/**
	 * Return the router that started an attempt.
	 * @param attempt attempt id in the form {@code host-incarnation-number.attempt}
	 * @return the host, empty if the attempt was not started by a router
	 */
	public static Optional<HostName> routerOf(String attempt) {
		int number = attempt.lastIndexOf('-');
		int incarnation = attempt.lastIndexOf('-', number - 1);
		return (incarnation > 0) ? Optional.of(HostName.of(attempt.substring(0, incarnation))) : Optional.empty();
	}

	/**
	 * Group attempts by the router that started them. Attempts that were not started by a
	 * router are omitted.
	 * @param attempts running attempts of an engine
	 * @return the attempts by router
	 */
	public static Map<HostName, List<String>> groupByRouter(Collection<String> attempts) {
		return attempts.stream()
			.filter((attempt) -> routerOf(attempt).isPresent())
			.collect(Collectors.groupingBy((attempt) -> routerOf(attempt).orElseThrow(), TreeMap::new,
					Collectors.toList()));
	}

	/**
	 * Return the part of this router in the audit of an engine.
	 * @param view the current members
	 * @param engine name of the engine
	 * @return whether this router audits, or which routers it monitors as a standby
	 */
	public Assignment assignment(MemberView view, String engine) {
		MemberView rest = new MemberView(view.self(),
				view.members().stream().filter((member) -> !isPresumedDead(member.host())).toList());
		Set<HostName> higherRanked = new HashSet<>();
		for (int rank = 0; rank <= STANDBY_ROUTERS; rank++) {
			Optional<Member> owner = rest.owner("audit/" + engine);
			if (owner.isEmpty()) {
				return new Assignment(false, Set.of());
			}
			HostName host = owner.get().host();
			if (host.equals(view.self().host())) {
				return new Assignment(higherRanked.isEmpty(), higherRanked);
			}
			higherRanked.add(host);
			rest = new MemberView(view.self(),
					rest.members().stream().filter((member) -> !member.host().equals(host)).toList());
		}
		return new Assignment(false, Set.of());
	}

	/**
	 * Record that a router answered a call, which resets its failure count.
	 * @param host the router
	 */
	public void recordAnswer(HostName host) {
		this.deliveryFailures.remove(host);
	}

	/**
	 * Record that a call definitely did not reach a router.
	 * @param host the router
	 * @return {@code true} if the router is presumed dead
	 */
	public boolean recordDeliveryFailure(HostName host) {
		if (this.deliveryFailures.size() >= this.maxHosts && !this.deliveryFailures.containsKey(host)) {
			return false;
		}
		return this.deliveryFailures.merge(host, 1,
				(count, one) -> Math.min(count + one, FAILURES_UNTIL_DEAD)) >= FAILURES_UNTIL_DEAD;
	}

	/**
	 * Return whether a router is presumed dead.
	 * @param host the router
	 * @return {@code true} if consecutive calls did not reach it
	 */
	public boolean isPresumedDead(HostName host) {
		return this.deliveryFailures.getOrDefault(host, 0) >= FAILURES_UNTIL_DEAD;
	}

	/**
	 * Return the routers that are presumed dead and have to be probed again.
	 * @return the routers
	 */
	public Set<HostName> presumedDead() {
		return this.deliveryFailures.keySet().stream().filter(this::isPresumedDead).collect(Collectors.toSet());
	}

	/**
	 * Remove a router that has left the membership table and has no running attempts.
	 * @param host the router
	 */
	public void remove(HostName host) {
		this.deliveryFailures.remove(host);
	}

	/**
	 * Part of a router in the audit of an engine.
	 *
	 * @param audits whether the router reads the engine's running attempts
	 * @param watches routers whose failure would make it the auditor
	 */
	public record Assignment(boolean audits, Set<HostName> watches) {
	}

}
