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

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;

/**
 * Tracks the backend servers that are eligible for requests, based on the platform's list
 * and on the responses of the servers. A server that has announced its shutdown remains
 * excluded until its next incarnation, regardless of the list; one that has announced
 * that it accepts no requests for some time is excluded for that time. A server whose
 * endpoint is listed for a server that was started later is excluded as well, because the
 * entry of a crashed server expires only after its successor has registered. Not
 * thread-safe.
 * <p>
 * Entries may expire while the store of the list is unavailable. A server whose entry is
 * missing on the first read after an outage is kept for a grace period, because live
 * servers register again. If the store has been restored from a copy, a full list may
 * show servers as they were before: one that has been leaving or gone since remains
 * excluded until it renews its entry, or until the entry would have expired.
 */
public final class ServerTable {

	/** The current incarnation and the one before, whose entry may still be listed. */
	private static final int INCARNATIONS_PER_SERVER = 2;

	private final long graceNanos;

	private final int maxServers;

	private final Map<ServerName, State> states = new LinkedHashMap<>();

	private final ServerNotices notices;

	private final WithdrawnServers withdrawn;

	private ServerTable(long graceNanos, int maxServers) {
		this.graceNanos = graceNanos;
		this.maxServers = maxServers;
		this.notices = new ServerNotices(INCARNATIONS_PER_SERVER * maxServers);
		this.withdrawn = new WithdrawnServers(INCARNATIONS_PER_SERVER * maxServers);
	}

	/**
	 * Create an empty table.
	 * @param graceNanos time for which a server missing after an outage is kept
	 * @param maxServers maximum number of servers in the table; further servers are left
	 * out
	 * @return the table
	 */
	public static ServerTable create(long graceNanos, int maxServers) {
		return new ServerTable(graceNanos, maxServers);
	}

	/**
	 * Replace the contents of the table.
	 * @param listed all servers of the list
	 * @param afterOutage true if this is the first read after an outage of the list's
	 * store
	 * @param nowNanos the monotonic time
	 * @return the changes
	 */
	public List<Change> replaceAll(Collection<ListedServer> listed, boolean afterOutage, long nowNanos) {
		List<Change> changes = new ArrayList<>();
		Map<ServerName, ListedServer> byName = listed.stream()
			.collect(Collectors.toMap(ListedServer::name, Function.identity(), (first, second) -> second));
		for (ServerName name : Set.copyOf(this.states.keySet())) {
			if (!byName.containsKey(name)) {
				remove(name, afterOutage, nowNanos).ifPresent(changes::add);
			}
		}
		byName.values()
			.stream()
			.filter((server) -> server.server().leaving() || !this.withdrawn.distrusts(server, nowNanos))
			.forEach((server) -> changes.addAll(apply(server)));
		return changes;
	}

	/**
	 * Handle the restoration of the list's store from a copy, before the next full list.
	 * @param nowNanos the monotonic time
	 */
	public void storeRestored(long nowNanos) {
		this.states.values()
			.stream()
			.map((state) -> state.listed)
			.filter((server) -> server.server().leaving())
			.forEach((server) -> this.withdrawn.add(server, nowNanos));
		this.withdrawn.storeRestored(nowNanos);
	}

	/**
	 * Add or update one entry of the list, which its server has just written.
	 * @param server the server
	 * @return the changes, empty if nothing changed
	 */
	public List<Change> put(ListedServer server) {
		this.withdrawn.remove(server);
		return apply(server);
	}

	private List<Change> apply(ListedServer server) {
		State state = this.states.get(server.name());
		if (state == null && this.states.size() >= this.maxServers) {
			return List.of(new Change(server, "left-out"));
		}
		if (state == null || !state.listed.sameIncarnation(server)) {
			return add(new State(server));
		}
		boolean changed = !state.listed.equals(server) || state.missing;
		state.listed = server;
		state.missing = false;
		return changed ? List.of(new Change(server, server.server().leaving() ? "draining" : "changed")) : List.of();
	}

	// A loop without streams, because a start adds all servers one after the other.
	private List<Change> add(State added) {
		List<Change> changes = new ArrayList<>();
		for (State other : this.states.values()) {
			if (other.sameEndpoint(added)) {
				added.excluded |= added.supersededBy(other.listed);
				if (!other.excluded && other.supersededBy(added.listed)) {
					other.excluded = true;
					changes.add(new Change(other.listed, "superseded"));
				}
			}
		}
		this.states.put(added.listed.name(), added);
		changes.add(new Change(added.listed, added.listed.server().leaving() ? "draining" : "listed"));
		return changes;
	}

	/**
	 * Remove a server whose entry is missing from the list, after the grace period if the
	 * store of the list was unavailable.
	 * @param name the server
	 * @param afterOutage true if this is the first read after an outage of the list's
	 * store
	 * @param nowNanos the monotonic time
	 * @return the change, empty if nothing changed
	 */
	public Optional<Change> remove(ServerName name, boolean afterOutage, long nowNanos) {
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
		this.withdrawn.add(state.listed, nowNanos);
		return Optional.of(new Change(state.listed, "gone"));
	}

	/**
	 * Remove servers whose grace period has expired.
	 * @param nowNanos the monotonic time
	 * @return the removals
	 */
	public List<Change> expire(long nowNanos) {
		List<Change> changes = this.states.values()
			.stream()
			.filter((state) -> state.missing && nowNanos - state.missingSinceNanos >= this.graceNanos)
			.map((state) -> new Change(state.listed, "gone"))
			.toList();
		changes.forEach((change) -> {
			this.states.remove(change.server().name());
			this.withdrawn.add(change.server(), nowNanos);
		});
		return changes;
	}

	/**
	 * Exclude a server that has announced its shutdown, or whose address belongs to
	 * another server.
	 * @param server the server as listed when the request was sent
	 * @return true if the server is listed and was not excluded before
	 */
	public boolean markLeaving(ListedServer server) {
		State state = this.states.get(server.name());
		boolean added = this.notices.leaving(server);
		return added && state != null && !state.excluded && state.listed.sameIncarnation(server);
	}

	/**
	 * Exclude a server that has announced that it accepts no requests of this router for
	 * some time.
	 * @param server the server as listed when the request was sent
	 * @param millis the time, in milliseconds
	 * @param nowNanos the monotonic time
	 * @return true if the server was not excluded in this way before
	 */
	public boolean holdBack(ListedServer server, long millis, long nowNanos) {
		return this.notices.holdBack(server, millis, nowNanos);
	}

	/**
	 * Return the servers of a service that are eligible for requests.
	 * @param service name of the service
	 * @param nowNanos the monotonic time
	 * @return the servers
	 */
	public List<ListedServer> usable(String service, long nowNanos) {
		return present(service).filter((server) -> this.notices.heldBackMillis(server, nowNanos) == 0).toList();
	}

	/**
	 * Return whether a server is still eligible for requests.
	 * @param server the server as listed when it was chosen
	 * @param nowNanos the monotonic time
	 * @return false if it has left, is leaving, was restarted or accepts no requests
	 */
	public boolean isUsable(ListedServer server, long nowNanos) {
		State state = this.states.get(server.name());
		return state != null && state.listed.sameIncarnation(server) && present(state)
				&& this.notices.heldBackMillis(server, nowNanos) == 0;
	}

	/**
	 * Return the servers of a service that are not leaving, including those that accept
	 * no requests for some time.
	 * @param service name of the service
	 * @return the servers
	 */
	public Stream<ListedServer> present(String service) {
		return present().filter((server) -> server.service().equals(service));
	}

	/**
	 * Return the time until the first of a service's servers accepts requests again.
	 * @param service name of the service
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, 0 if a server accepts requests or none will
	 */
	public long returnMillis(String service, long nowNanos) {
		return present(service).mapToLong((server) -> this.notices.heldBackMillis(server, nowNanos)).min().orElse(0);
	}

	/**
	 * Return the number of servers that are eligible for requests.
	 * @param nowNanos the monotonic time
	 * @return the number of servers of all services
	 */
	public int usableCount(long nowNanos) {
		return (int) present().filter((server) -> this.notices.heldBackMillis(server, nowNanos) == 0).count();
	}

	/**
	 * Return the number of servers that accept no requests for some time.
	 * @param nowNanos the monotonic time
	 * @return the number of servers of all services
	 */
	public int heldBackCount(long nowNanos) {
		return (int) present().filter((server) -> this.notices.heldBackMillis(server, nowNanos) > 0).count();
	}

	/**
	 * Return the server that listens at an address.
	 * @param endpoint the address
	 * @return the server, empty if none is listed or it has been superseded
	 */
	public Optional<ListedServer> at(Endpoint endpoint) {
		return this.states.values()
			.stream()
			.filter((state) -> !state.excluded && state.listed.server().endpoint().equals(endpoint))
			.map((state) -> state.listed)
			.findFirst();
	}

	private Stream<ListedServer> present() {
		return this.states.values().stream().filter(this::present).map((state) -> state.listed);
	}

	private boolean present(State state) {
		return !state.excluded && !state.listed.server().leaving() && !this.notices.isLeaving(state.listed);
	}

	/**
	 * Return the number of known servers.
	 * @return the size of the table
	 */
	public int size() {
		return this.states.size();
	}

	/**
	 * A change to the table.
	 *
	 * @param server the server
	 * @param kind kind of change: listed, changed, draining, superseded,
	 * missing-after-outage, gone or left-out
	 */
	public record Change(ListedServer server, String kind) {
	}

	private static final class State {

		private ListedServer listed;

		private boolean excluded;

		private boolean missing;

		private long missingSinceNanos;

		State(ListedServer listed) {
			this.listed = listed;
		}

		boolean sameEndpoint(State other) {
			return this.listed.server().endpoint().equals(other.listed.server().endpoint());
		}

		// The server has the same endpoint.
		boolean supersededBy(ListedServer server) {
			return !this.listed.name().equals(server.name()) && this.listed.startedMillis() < server.startedMillis();
		}

	}

}
