package io.balsamlane.router.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.balsamlane.core.forwarding.EngineRates;
import io.balsamlane.core.forwarding.ForwardingConfiguration;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.ServerTable;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.forwarding.ShutdownSchedule;
import io.balsamlane.core.forwarding.WindowedRetryBudget;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.overload.CustomerUsage;
import io.balsamlane.core.overload.OverloadRule;
import io.balsamlane.core.retry.ReplicaChooser;
import org.apache.commons.rng.simple.RandomSource;

/**
 * State of one router: the configuration in force, the known backend servers, their load,
 * and the retry budgets. All methods run on the event loop that forwards requests.
 */
public final class ForwardingState {

	private static final int MAX_SERVERS = 4096;

	/** Maximum random extension of the time for which a server accepts no requests. */
	private static final long RETURN_SPREAD_MILLIS = 300;

	/**
	 * Minimum number of routers that share the retry budget: the smallest deployments
	 * have seven routers plus spares.
	 */
	private static final int MIN_BUDGET_ROUTERS = 10;

	/**
	 * Assumed number of routers per router that is seen alive, to account for spare and
	 * unreachable ones.
	 */
	private static final double BUDGET_ROUTERS_PER_MEMBER = 1.2;

	private final DecisionLog log;

	private final ServerTable servers;

	private final ReplicaChooser replicas = ReplicaChooser.create(MAX_SERVERS,
			RandomSource.XO_RO_SHI_RO_128_PP.create());

	private final SharedLoadPlacement engines;

	private final RetryRule retryRule;

	private boolean limitsPlacement;

	private Map<String, OverloadRule> overloadRules = Map.of();

	private final CustomerUsage customerUsage = CustomerUsage.create();

	private int budgetRouters = MIN_BUDGET_ROUTERS;

	private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

	private Consumer<ServerName> terminationListener = (name) -> {
	};

	private ForwardingConfiguration configuration;

	private long configurationNanos;

	private boolean serversKnown;

	private long serversNanos;

	private ShutdownSchedule shutdown;

	private ForwardingState(DecisionLog log, ServerTable servers, SharedLoadPlacement engines, RetryRule retryRule) {
		this.log = log;
		this.servers = servers;
		this.engines = engines;
		this.retryRule = retryRule;
	}

	/**
	 * Create a state without configuration and servers.
	 * @param log receives each change
	 * @param rates throughput of engines and network paths
	 * @param region region of this router
	 * @param place data centre of this router
	 * @param graceNanos time for which a server that is missing after an outage of the
	 * list store is kept, in nanoseconds
	 * @param retryRule limits on retries
	 * @return the state
	 */
	public static ForwardingState create(DecisionLog log, EngineRates rates, String region, String place,
			long graceNanos, RetryRule retryRule) {
		return new ForwardingState(log, ServerTable.create(graceNanos, MAX_SERVERS),
				SharedLoadPlacement.create(rates, region, place, RandomSource.XO_RO_SHI_RO_128_PP.create()), retryRule);
	}

	/**
	 * Place waiting streams within the limits of their standing from the next
	 * configuration on, instead of by free memory alone. It is a setting, because it
	 * showed no gain for callers on the benchmark, see docs/design/overload.md.
	 */
	public void limitPlacement() {
		this.limitsPlacement = true;
	}

	/**
	 * Apply a configuration if it is newer than the one in force.
	 * @param next the configuration
	 * @param source origin of the configuration, for the log
	 * @return true if it was applied
	 */
	public boolean apply(ForwardingConfiguration next, String source) {
		if (this.configuration != null && next.version() <= this.configuration.version()) {
			return false;
		}
		this.log.log("configuration-applied", "", "version", next.version(), "previous",
				(this.configuration != null) ? this.configuration.version() : 0, "routes", next.routeCount(),
				"customers", next.customers().size(), "keys", next.customers().keyCount(), "source", source);
		next.customers()
			.problems()
			.forEach((problem) -> this.log.log("customer-configuration-error", "", "version", next.version(), "problem",
					problem));
		this.configuration = next;
		this.overloadRules = this.limitsPlacement ? OverloadRule.byService(next) : Map.of();
		this.configurationNanos = System.nanoTime();
		return true;
	}

	/**
	 * Replace the list of servers.
	 * @param listed all servers
	 * @param afterOutage true if the list store has just recovered from an outage
	 */
	public void serversReplaced(List<ListedServer> listed, boolean afterOutage) {
		this.serversKnown = true;
		serversConfirmed();
		this.servers.replaceAll(listed, afterOutage, System.nanoTime()).forEach(this::changed);
	}

	/**
	 * Add or update one entry of the list.
	 * @param listed the server
	 */
	public void serverListed(ListedServer listed) {
		this.servers.put(listed).forEach(this::changed);
	}

	/**
	 * Handle the removal of an entry from the list.
	 * @param name name of the server
	 * @param afterOutage true if the list store has just recovered from an outage
	 */
	public void serverRemoved(ServerName name, boolean afterOutage) {
		this.servers.remove(name, afterOutage, System.nanoTime()).ifPresent(this::changed);
	}

	/**
	 * Handle the restoration of the list store from a copy, before the next full list.
	 */
	public void serverStoreRestored() {
		this.servers.storeRestored(System.nanoTime());
	}

	/**
	 * Set the listener that is notified when a server has terminated without announcing
	 * it or was restarted.
	 * @param listener the listener
	 */
	void setTerminationListener(Consumer<ServerName> listener) {
		this.terminationListener = listener;
	}

	/**
	 * Record that the list is up to date now.
	 */
	public void serversConfirmed() {
		this.serversNanos = System.nanoTime();
	}

	/**
	 * Remove servers that have been missing for longer than the grace period.
	 */
	public void expireServers() {
		this.servers.expire(System.nanoTime()).forEach(this::changed);
	}

	/**
	 * Record that a server is leaving, or that its address belongs to another server than
	 * the list shows.
	 * @param server the server as listed when the request was sent
	 * @param reason the reason, for the log
	 */
	void serverLeft(ListedServer server, String reason) {
		if (this.servers.markLeaving(server)) {
			this.log.log("server-left", "", "server", server.name(), "service", server.service(), "reason", reason);
		}
	}

	/**
	 * Record what a server has announced in a response.
	 * @param server the server as listed when the request was sent
	 * @param notice the announcement
	 */
	void noticeReceived(ListedServer server, ServerNotice notice) {
		if (notice.leaving()) {
			serverLeft(server, "it announced that it is leaving");
		}
		notice.ignored()
			.ifPresent((reason) -> this.log.log("retry-after-ignored", "", "server", server.name(), "reason", reason));
		if (notice.retryAfterMillis() > 0) {
			// The servers of a service return one after the other.
			long millis = notice.retryAfterMillis() + ThreadLocalRandom.current().nextLong(RETURN_SPREAD_MILLIS);
			if (this.servers.holdBack(server, millis, System.nanoTime())) {
				this.log.log("server-held-back", "", "server", server.name(), "service", server.service(),
						"retry_after_millis", notice.retryAfterMillis(), "list_age_millis", serversAgeMillis());
			}
		}
	}

	/**
	 * Record what the server at an address has announced in a response.
	 * @param endpoint the address
	 * @param notice the announcement
	 */
	public void noticeReceived(Endpoint endpoint, ServerNotice notice) {
		if (notice.present()) {
			this.servers.at(endpoint).ifPresent((server) -> noticeReceived(server, notice));
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
				this.terminationListener.accept(server.name());
			}
		}
	}

	/**
	 * Record that this process is shutting down.
	 * @param schedule decides about requests until it exits
	 */
	void drain(ShutdownSchedule schedule) {
		this.shutdown = schedule;
	}

	/**
	 * Return the schedule of the shutdown.
	 * @return the schedule, empty before the shutdown has begun
	 */
	Optional<ShutdownSchedule> shutdown() {
		return Optional.ofNullable(this.shutdown);
	}

	/**
	 * Return whether this process is shutting down.
	 * @return true once the shutdown has begun
	 */
	public boolean draining() {
		return this.shutdown != null;
	}

	/**
	 * Return whether this router can serve requests.
	 * @return true if it has a configuration and a list of servers and is not shutting
	 * down
	 */
	public boolean ready() {
		return this.configuration != null && this.serversKnown && this.shutdown == null;
	}

	/**
	 * Return the configuration in force.
	 * @return the configuration, empty before the first one
	 */
	public Optional<ForwardingConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	/**
	 * Return the servers of a service that may receive requests.
	 * @param service name of the service
	 * @return the servers
	 */
	public List<ListedServer> usable(String service) {
		return this.servers.usable(service, System.nanoTime());
	}

	/**
	 * Return the servers of a service that are not leaving, including those that accept
	 * no requests for some time.
	 * @param service name of the service
	 * @return the servers
	 */
	public List<ListedServer> present(String service) {
		return this.servers.present(service).toList();
	}

	/**
	 * Return whether a server that was chosen earlier may still receive requests.
	 * @param server the server
	 * @return false if it has left, is leaving, was restarted or accepts no requests
	 */
	boolean isUsable(ListedServer server) {
		return this.servers.isUsable(server, System.nanoTime());
	}

	/**
	 * Return whether the server at an address accepts requests, as far as is known.
	 * @param endpoint the address
	 * @return false if the server listed there accepts none for some time
	 */
	public boolean acceptsRequests(Endpoint endpoint) {
		return this.servers.at(endpoint).map(this::isUsable).orElse(true);
	}

	/**
	 * Return the time until the first of a service's servers accepts requests again.
	 * @param service name of the service
	 * @return the time in milliseconds, 0 if it is not known
	 */
	long returnMillis(String service) {
		return this.servers.returnMillis(service, System.nanoTime());
	}

	int usableCount() {
		return this.servers.usableCount(System.nanoTime());
	}

	int heldBackCount() {
		return this.servers.heldBackCount(System.nanoTime());
	}

	ReplicaChooser replicas() {
		return this.replicas;
	}

	/**
	 * Return the placement of model requests.
	 * @return the placement
	 */
	public SharedLoadPlacement engines() {
		return this.engines;
	}

	/**
	 * Return the work that customers have requested from the whole fleet, as far as it is
	 * known to this router.
	 * @return the usage
	 */
	public CustomerUsage customerUsage() {
		return this.customerUsage;
	}

	/**
	 * Return the rule for requests of a service that wait for capacity.
	 * @param service name of the service
	 * @return the rule, empty if the configuration in force has no customers
	 */
	Optional<OverloadRule> overloadRule(String service) {
		return Optional.ofNullable(this.overloadRules.get(service));
	}

	WindowedRetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> WindowedRetryBudget.create(this.retryRule.share(),
				() -> this.retryRule.fixed() / this.budgetRouters, this.retryRule.windowNanos()));
	}

	/**
	 * Record the number of live routers, which share the fixed part of the retry budget.
	 * The largest number so far counts, because routers that are partitioned from this
	 * one continue to spend their share.
	 * @param alive number of live routers, including this one
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
	 * Retry budget of the fleet.
	 *
	 * @param share retries allowed per request of callers
	 * @param fixed additional retries allowed to all routers together in each window
	 * @param windowNanos length of the window, in nanoseconds
	 */
	public record RetryRule(double share, double fixed, long windowNanos) {
	}

}
