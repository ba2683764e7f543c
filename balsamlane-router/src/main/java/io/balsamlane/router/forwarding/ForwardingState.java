package io.balsamlane.router.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.balsamlane.core.forwarding.EngineRates;
import io.balsamlane.core.forwarding.ForwardingConfiguration;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.ServerTable;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.forwarding.WindowedRetryBudget;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.retry.ReplicaChooser;
import org.apache.commons.rng.simple.RandomSource;

/**
 * What one router believes: configuration, servers, load and budgets. All methods run on
 * the event loop of the forwarding.
 */
public final class ForwardingState {

	private static final int MAX_SERVERS = 4096;

	/**
	 * Fewest routers that share the retry budget: the smallest deployments have seven and
	 * spares.
	 */
	private static final int MIN_BUDGET_ROUTERS = 10;

	/** Routers of the budget for each that is seen alive; the rest is unseen or spare. */
	private static final double BUDGET_ROUTERS_PER_MEMBER = 1.2;

	private final DecisionLog log;

	private final ServerTable servers;

	private final ReplicaChooser replicas = ReplicaChooser.create(MAX_SERVERS,
			RandomSource.XO_RO_SHI_RO_128_PP.create());

	private final SharedLoadPlacement engines;

	private final RetryRule retryRule;

	private int budgetRouters = MIN_BUDGET_ROUTERS;

	private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

	private Consumer<ServerName> endListener = (name) -> {
	};

	private ForwardingConfiguration configuration;

	private long configurationNanos;

	private boolean serversKnown;

	private long serversNanos;

	private boolean draining;

	private ForwardingState(DecisionLog log, ServerTable servers, SharedLoadPlacement engines, RetryRule retryRule) {
		this.log = log;
		this.servers = servers;
		this.engines = engines;
		this.retryRule = retryRule;
	}

	/**
	 * Creates a state that knows nothing.
	 * @param log receives what changes
	 * @param rates speeds of engines and paths
	 * @param region region of this router
	 * @param place place of this router
	 * @param graceNanos time after an outage of the list for which a missing server is
	 * kept
	 * @param retryRule bounds on repeated requests
	 * @return the state
	 */
	public static ForwardingState create(DecisionLog log, EngineRates rates, String region, String place,
			long graceNanos, RetryRule retryRule) {
		return new ForwardingState(log, ServerTable.create(graceNanos, MAX_SERVERS),
				SharedLoadPlacement.create(rates, region, place, RandomSource.XO_RO_SHI_RO_128_PP.create()), retryRule);
	}

	/**
	 * Puts a configuration in force if it is newer than the present one.
	 * @param next the configuration
	 * @param source where it came from, for the log
	 * @return true if it is in force now
	 */
	public boolean apply(ForwardingConfiguration next, String source) {
		if (this.configuration != null && next.version() <= this.configuration.version()) {
			return false;
		}
		this.log.log("configuration-applied", "", "version", next.version(), "previous",
				(this.configuration != null) ? this.configuration.version() : 0, "routes", next.routeCount(), "source",
				source);
		this.configuration = next;
		this.configurationNanos = System.nanoTime();
		return true;
	}

	/**
	 * Replaces the list of servers.
	 * @param listed all servers
	 * @param afterOutage true if the list's store was away just before
	 */
	public void serversReplaced(List<ListedServer> listed, boolean afterOutage) {
		this.serversKnown = true;
		serversConfirmed();
		this.servers.replaceAll(listed, afterOutage, System.nanoTime()).forEach(this::changed);
	}

	/**
	 * Takes over one entry of the list.
	 * @param listed the server
	 */
	public void serverListed(ListedServer listed) {
		this.servers.put(listed).ifPresent(this::changed);
	}

	/**
	 * Notes that an entry was removed from the list.
	 * @param name the server
	 * @param afterOutage true if the list's store was away just before
	 */
	public void serverRemoved(ServerName name, boolean afterOutage) {
		this.servers.remove(name, afterOutage, System.nanoTime()).ifPresent(this::changed);
	}

	/**
	 * Sets who hears that a server has ended without notice or was started again.
	 * @param listener the listener
	 */
	void setEndListener(Consumer<ServerName> listener) {
		this.endListener = listener;
	}

	/**
	 * Notes that the list is known to be up to date now.
	 */
	public void serversConfirmed() {
		this.serversNanos = System.nanoTime();
	}

	/**
	 * Removes servers that are missing for too long.
	 */
	public void expireServers() {
		this.servers.expire(System.nanoTime()).forEach(this::changed);
	}

	/**
	 * Notes that a server says it is leaving, or is another one than the list shows.
	 * @param server the server as it was when the request was sent
	 * @param reason what it said
	 */
	void serverLeft(ListedServer server, String reason) {
		if (this.servers.markLeaving(server)) {
			this.log.log("server-left", "", "server", server.name(), "service", server.service(), "reason", reason);
		}
	}

	private void changed(ServerTable.Change change) {
		ListedServer server = change.server();
		this.log.log("server-" + change.kind(), "", "server", server.name(), "service", server.service(), "stage",
				server.stage(), "address", server.server().endpoint(), "place", server.server().place(), "born_millis",
				server.startedMillis());
		if (change.kind().equals("listed") || change.kind().equals("gone")) {
			this.engines.forget(server.name());
			if (!server.server().leaving()) {
				this.endListener.accept(server.name());
			}
		}
	}

	/**
	 * Notes that this process is shutting down.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Tells whether this process is shutting down.
	 * @return true once it has begun to
	 */
	public boolean draining() {
		return this.draining;
	}

	/**
	 * Tells whether this router can serve requests.
	 * @return true if it knows routes and servers and does not shut down
	 */
	public boolean ready() {
		return this.configuration != null && this.serversKnown && !this.draining;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty before the first one
	 */
	public Optional<ForwardingConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Returns the servers of a service that may get requests.
	 * @param service name of the service
	 * @return the servers
	 */
	public List<ListedServer> usable(String service) {
		return this.servers.usable(service);
	}

	int usableCount() {
		return this.servers.usableCount();
	}

	ReplicaChooser replicas() {
		return this.replicas;
	}

	/**
	 * Returns the placement of model requests.
	 * @return the placement
	 */
	public SharedLoadPlacement engines() {
		return this.engines;
	}

	WindowedRetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> WindowedRetryBudget.create(this.retryRule.share(),
				() -> this.retryRule.fixed() / this.budgetRouters, this.retryRule.windowNanos()));
	}

	/**
	 * Notes how many routers are alive, which share the fixed part of the retry budget.
	 * The largest number counts, because routers that are cut off spend their part too.
	 * @param alive the routers, this one included
	 */
	public void routersSeen(int alive) {
		this.budgetRouters = Math.max(this.budgetRouters, (int) Math.ceil(alive * BUDGET_ROUTERS_PER_MEMBER));
	}

	long serversAgeMillis() {
		return (System.nanoTime() - this.serversNanos) / 1_000_000;
	}

	long configurationAgeMillis() {
		return (System.nanoTime() - this.configurationNanos) / 1_000_000;
	}

	/**
	 * The fleet's retry budget.
	 *
	 * @param share repeated requests for each request of callers
	 * @param fixed repeated requests of all routers in each window beyond that
	 * @param windowNanos length of the window
	 */
	public record RetryRule(double share, double fixed, long windowNanos) {
	}

}
