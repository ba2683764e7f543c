package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.balsamlane.core.model.ServerName;

/**
 * The backend servers that may get requests, from the platform's list and from what
 * servers say themselves. A server that said it is leaving stays out until its next
 * incarnation, whatever the list shows. Not safe for use by several threads.
 * <p>
 * Entries may lapse while the list's store is away. A server whose entry is missing at
 * the first read after an outage is kept for a grace period, because live servers enter
 * themselves again.
 */
public final class ServerTable {

	private final long graceNanos;

	private final int maxServers;

	private final Map<ServerName, State> states = new LinkedHashMap<>();

	private ServerTable(long graceNanos, int maxServers) {
		this.graceNanos = graceNanos;
		this.maxServers = maxServers;
	}

	/**
	 * Creates an empty table.
	 * @param graceNanos time after an outage for which a missing server is kept
	 * @param maxServers bound of the table; further servers are left out
	 * @return the table
	 */
	public static ServerTable create(long graceNanos, int maxServers) {
		return new ServerTable(graceNanos, maxServers);
	}

	/**
	 * Replaces the list.
	 * @param listed all servers of the list
	 * @param afterOutage true if the list's store was away just before
	 * @param nowNanos the monotonic time
	 * @return what changed
	 */
	public List<Change> replaced(Collection<ListedServer> listed, boolean afterOutage, long nowNanos) {
		List<Change> changes = new ArrayList<>();
		Map<ServerName, ListedServer> byName = listed.stream()
			.collect(Collectors.toMap(ListedServer::name, Function.identity(), (first, second) -> second));
		for (ServerName name : Set.copyOf(this.states.keySet())) {
			if (!byName.containsKey(name)) {
				removed(name, afterOutage, nowNanos).ifPresent(changes::add);
			}
		}
		byName.values().forEach((server) -> put(server).ifPresent(changes::add));
		return changes;
	}

	/**
	 * Takes over one entry of the list.
	 * @param server the server
	 * @return what changed, empty if nothing did
	 */
	public Optional<Change> put(ListedServer server) {
		State state = this.states.get(server.name());
		if (state == null && this.states.size() >= this.maxServers) {
			return Optional.of(new Change(server, "left-out"));
		}
		if (state == null || !state.listed.sameIncarnation(server)) {
			this.states.put(server.name(), new State(server));
			return Optional.of(new Change(server, server.server().leaving() ? "draining" : "listed"));
		}
		boolean changed = !state.listed.equals(server) || state.missing;
		state.listed = server;
		state.missing = false;
		return changed ? Optional.of(new Change(server, server.server().leaving() ? "draining" : "changed"))
				: Optional.empty();
	}

	/**
	 * Notes that an entry is missing from the list.
	 * @param name the server
	 * @param afterOutage true if the list's store was away just before
	 * @param nowNanos the monotonic time
	 * @return what changed, empty if nothing did
	 */
	public Optional<Change> removed(ServerName name, boolean afterOutage, long nowNanos) {
		State state = this.states.get(name);
		if (state == null || (state.missing && afterOutage)) {
			return Optional.empty();
		}
		if (afterOutage && !state.listed.server().leaving()) {
			state.missing = true;
			state.missingSinceNanos = nowNanos;
			return Optional.of(new Change(state.listed, "missing-after-outage"));
		}
		this.states.remove(name);
		return Optional.of(new Change(state.listed, "gone"));
	}

	/**
	 * Removes servers that stayed missing for the grace period.
	 * @param nowNanos the monotonic time
	 * @return the servers that were removed
	 */
	public List<Change> expire(long nowNanos) {
		List<Change> changes = this.states.values()
			.stream()
			.filter((state) -> state.missing && nowNanos - state.missingSinceNanos >= this.graceNanos)
			.map((state) -> new Change(state.listed, "gone"))
			.toList();
		changes.forEach((change) -> this.states.remove(change.server().name()));
		return changes;
	}

	/**
	 * Notes that a server said it is leaving, or that another server has its address.
	 * @param server the server as it was when the request was sent
	 * @return true if it was usable until now
	 */
	public boolean left(ListedServer server) {
		State state = this.states.get(server.name());
		if (state == null || state.left || !state.listed.sameIncarnation(server)) {
			return false;
		}
		state.left = true;
		return true;
	}

	/**
	 * Returns the servers of a service that may get requests.
	 * @param service name of the service
	 * @return the servers
	 */
	public List<ListedServer> usable(String service) {
		return usable().filter((server) -> server.service().equals(service)).toList();
	}

	/**
	 * Returns the number of servers that may get requests.
	 * @return the servers of all services
	 */
	public int usableCount() {
		return (int) usable().count();
	}

	private Stream<ListedServer> usable() {
		return this.states.values()
			.stream()
			.filter((state) -> !state.left && !state.listed.server().leaving())
			.map((state) -> state.listed);
	}

	/**
	 * Returns the number of servers known.
	 * @return the size of the table
	 */
	public int size() {
		return this.states.size();
	}

	/**
	 * A change of the table.
	 *
	 * @param server the server
	 * @param kind what happened: listed, changed, draining, missing-after-outage, gone or
	 * left-out
	 */
	public record Change(ListedServer server, String kind) {
	}

	private static final class State {

		private ListedServer listed;

		private boolean left;

		private boolean missing;

		private long missingSinceNanos;

		State(ListedServer listed) {
			this.listed = listed;
		}

	}

}
