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
 * Decides who audits an engine and which of its running attempts are orphans.
 * <p>
 * A router is taken for dead once {@value #FAILURES_UNTIL_DEAD} calls in a row certainly
 * did not reach it: engine memory must be free within 2 s, while the member table takes
 * about 3 s to notice. Not safe for use by several threads.
 */
public final class EngineAudit {

	/** Undelivered calls in a row after which a router is taken for dead. */
	public static final int FAILURES_UNTIL_DEAD = 2;

	private static final int WATCHED_RANKS = 2;

	private final Map<HostName, Integer> undelivered = new HashMap<>();

	private final int maxHosts;

	private EngineAudit(int maxHosts) {
		this.maxHosts = maxHosts;
	}

	/**
	 * Creates the decision class.
	 * @param maxHosts bound of the table of unreachable routers
	 * @return the decision class
	 */
	public static EngineAudit create(int maxHosts) {
		return new EngineAudit(maxHosts);
	}

	/**
	 * Finds the router that started an attempt.
	 * @param attempt {@code host-incarnation-number.attempt}
	 * @return the host, empty if the attempt was not started by a router
	 */
	public static Optional<HostName> routerOf(String attempt) {
		int number = attempt.lastIndexOf('-');
		int incarnation = attempt.lastIndexOf('-', number - 1);
		return (incarnation > 0) ? Optional.of(HostName.of(attempt.substring(0, incarnation))) : Optional.empty();
	}

	/**
	 * Groups attempts by the router that must be asked about them.
	 * @param attempts running attempts of an engine
	 * @return the attempts of each router
	 */
	public static Map<HostName, List<String>> byRouter(Collection<String> attempts) {
		return attempts.stream()
			.filter((attempt) -> routerOf(attempt).isPresent())
			.collect(Collectors.groupingBy((attempt) -> routerOf(attempt).orElseThrow(), TreeMap::new,
					Collectors.toList()));
	}

	/**
	 * Tells what this router does for an engine.
	 * @param view the members
	 * @param engine name of the engine
	 * @return whether it audits, or which routers it watches because it would take over
	 */
	public Duty duty(MemberView view, String engine) {
		MemberView rest = new MemberView(view.self(),
				view.members().stream().filter((member) -> !dead(member.host())).toList());
		Set<HostName> before = new HashSet<>();
		for (int rank = 0; rank <= WATCHED_RANKS; rank++) {
			Optional<Member> owner = rest.owner("audit/" + engine);
			if (owner.isEmpty()) {
				return new Duty(false, Set.of());
			}
			HostName host = owner.get().host();
			if (host.equals(view.self().host())) {
				return new Duty(before.isEmpty(), before);
			}
			before.add(host);
			rest = new MemberView(view.self(),
					rest.members().stream().filter((member) -> !member.host().equals(host)).toList());
		}
		return new Duty(false, Set.of());
	}

	/**
	 * Records that a router answered.
	 * @param host the router
	 */
	public void answered(HostName host) {
		this.undelivered.remove(host);
	}

	/**
	 * Records that a call certainly did not reach a router.
	 * @param host the router
	 * @return true if the router is taken for dead from now on
	 */
	public boolean notDelivered(HostName host) {
		if (this.undelivered.size() >= this.maxHosts && !this.undelivered.containsKey(host)) {
			return false;
		}
		return this.undelivered.merge(host, 1,
				(count, one) -> Math.min(count + one, FAILURES_UNTIL_DEAD)) >= FAILURES_UNTIL_DEAD;
	}

	/**
	 * Tells whether a router is taken for dead.
	 * @param host the router
	 * @return true if calls do not reach it
	 */
	public boolean dead(HostName host) {
		return this.undelivered.getOrDefault(host, 0) >= FAILURES_UNTIL_DEAD;
	}

	/**
	 * Returns the routers that are taken for dead, to be asked again.
	 * @return the routers
	 */
	public Set<HostName> dead() {
		return this.undelivered.keySet().stream().filter(this::dead).collect(Collectors.toSet());
	}

	/**
	 * Forgets a router that has left the member table and runs nothing any more.
	 * @param host the router
	 */
	public void forget(HostName host) {
		this.undelivered.remove(host);
	}

	/**
	 * What a router does for an engine.
	 *
	 * @param audits whether it reads the engine's running attempts
	 * @param watches routers whose death would make it the auditor
	 */
	public record Duty(boolean audits, Set<HostName> watches) {
	}

}
