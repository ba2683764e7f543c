package io.balsamlane.router.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.OrderLimits;
import io.balsamlane.core.orders.PoolOrders;
import io.balsamlane.core.orders.PoolSnapshot;
import io.balsamlane.core.orders.PoolTarget;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.store.LeaseStore;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.OrderSettings;
import io.balsamlane.schema.Pool;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Drives the orders of all pools whose configuration asks for them.
 * <p>
 * Everything runs on one event loop, so a decision class is never called by two threads.
 */
public final class OrderDriver {

	private static final Logger logger = System.getLogger(OrderDriver.class.getName());

	/** Prefix of the keys in the platform store; the pool's name follows. */
	public static final String KEY_PREFIX = "balsamlane/orders/";

	private static final String OWNER_PREFIX = "orders/";

	private static final int TICK_MILLIS = 20;

	private static final int MAX_ENGINES_PER_POOL = 1024;

	private static final int LEASE_ORDERS = 4;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final Context context;

	private final String host;

	private final OrderLimits limits;

	private final PeerNetwork peers;

	private final OrderExecutor executor;

	private final UniformRandomProvider random;

	private final Map<String, PoolOrders> pools = new TreeMap<>();

	private final Map<String, PoolSnapshot> situations = new HashMap<>();

	private final Map<ServerName, Endpoint> endpoints = new HashMap<>();

	private Configuration configuration = Configuration.getDefaultInstance();

	private HostList hosts = HostList.empty();

	private boolean stopping;

	private long timer = -1;

	private volatile int leasesHeld;

	private OrderDriver(Vertx vertx, String host, OrderSettings settings, LeaseStore store, EngineOrders engines,
			PeerNetwork peers, Timeline timeline, UniformRandomProvider random) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.host = host;
		this.limits = limits(settings);
		this.peers = peers;
		this.random = random;
		this.executor = new OrderExecutor(this.context, store, engines, timeline, this.endpoints::get);
	}

	/**
	 * Creates the driver.
	 * @param vertx the event loops to use
	 * @param host name of this host
	 * @param settings times and budgets
	 * @param store the platform store
	 * @param engines the engines' interface
	 * @param peers the other routers
	 * @param timeline records the orders
	 * @param random source of pauses
	 * @return the driver, not started
	 */
	public static OrderDriver create(Vertx vertx, String host, OrderSettings settings, LeaseStore store,
			EngineOrders engines, PeerNetwork peers, Timeline timeline, UniformRandomProvider random) {
		return new OrderDriver(vertx, host, settings, store, engines, peers, timeline, random);
	}

	static OrderLimits limits(OrderSettings settings) {
		long leaseMillis = Math.max(settings.getLeaseMillis(), (long) LEASE_ORDERS * settings.getOrderMillis());
		return new OrderLimits(leaseMillis * NANOS_PER_MILLI, settings.getOrderMillis() * NANOS_PER_MILLI,
				settings.getRetryMillis() * NANOS_PER_MILLI, settings.getVerifyMillis() * NANOS_PER_MILLI,
				settings.getMaxChangingPercent(), settings.getLoadsPerMinute(), MAX_ENGINES_PER_POOL);
	}

	/**
	 * Starts to own pools.
	 */
	public void start() {
		this.peers.addMemberListener((view) -> this.context.runOnContext((ignored) -> refresh()));
		this.context.runOnContext((ignored) -> this.timer = this.vertx.setPeriodic(TICK_MILLIS, (id) -> tick()));
	}

	/**
	 * Takes over the configuration and the hosts. Safe for use by any thread.
	 * @param next the configuration in force
	 * @param nextHosts the host list
	 */
	public void update(Configuration next, HostList nextHosts) {
		this.context.runOnContext((ignored) -> {
			this.configuration = next;
			this.hosts = nextHosts;
			refresh();
		});
	}

	/**
	 * Gives up all pools: no further order is issued, and leases are revoked as soon as
	 * no earlier order can take effect any more.
	 */
	public void release() {
		this.context.runOnContext((ignored) -> {
			this.stopping = true;
			refresh();
		});
	}

	/**
	 * Stops; leases that are still held lapse by themselves.
	 */
	public void stop() {
		this.context.runOnContext((ignored) -> this.vertx.cancelTimer(this.timer));
	}

	/**
	 * Returns the number of pools whose orders this router issues. Safe for use by any
	 * thread.
	 * @return the number of leases held
	 */
	public int leasesHeld() {
		return this.leasesHeld;
	}

	private void refresh() {
		long nowNanos = System.nanoTime();
		Map<String, List<BackendServer>> engines = this.hosts.servers()
			.stream()
			.filter((server) -> server.kind() == BackendServer.Kind.ENGINE && !server.leaving())
			.collect(Collectors.groupingBy(BackendServer::group));
		this.endpoints.clear();
		engines.values()
			.forEach((servers) -> servers.forEach((server) -> this.endpoints.put(server.name(), server.endpoint())));
		List<Pool> managed = this.configuration.getPoolsList().stream().filter(Pool::getOrders).toList();
		Map<String, PoolSnapshot> next = new HashMap<>();
		managed.forEach((pool) -> {
			List<ServerName> names = engines.getOrDefault(pool.getName(), List.of())
				.stream()
				.map(BackendServer::name)
				.toList();
			if (names.size() > MAX_ENGINES_PER_POOL) {
				logger.log(Level.WARNING, "Pool {0} has {1} engines; only the first {2} receive orders", pool.getName(),
						names.size(), MAX_ENGINES_PER_POOL);
			}
			boolean owned = !this.stopping && this.peers.members().owns(OWNER_PREFIX + pool.getName());
			next.put(pool.getName(), new PoolSnapshot(owned, PoolTarget.of(pool), names, managed.size()));
		});
		this.situations.forEach((pool, old) -> next.putIfAbsent(pool,
				new PoolSnapshot(false, old.target(), List.of(), old.managedPools())));
		this.situations.clear();
		this.situations.putAll(next);
		next.forEach((pool, situation) -> this.pools
			.computeIfAbsent(pool,
					(name) -> PoolOrders.create(this.host, this.limits, situation, this.random, nowNanos))
			.update(situation, nowNanos));
	}

	private void tick() {
		this.pools.forEach((name, orders) -> {
			boolean held = orders.held(System.nanoTime());
			this.executor.execute(name, orders, orders.tick(System.nanoTime()));
			if (held && !orders.held(System.nanoTime())) {
				logger.log(Level.INFO, "No longer orders the engines of pool {0}, fencing number {1,number,#}", name,
						orders.fencing());
			}
		});
		long nowNanos = System.nanoTime();
		this.leasesHeld = (int) this.pools.values().stream().filter((orders) -> orders.held(nowNanos)).count();
		boolean removed = this.situations.entrySet()
			.removeIf((entry) -> !entry.getValue().owned() && this.pools.get(entry.getKey()).idle(nowNanos)
					&& !isManaged(entry.getKey()));
		if (removed) {
			this.pools.keySet().retainAll(this.situations.keySet());
		}
	}

	private boolean isManaged(String pool) {
		return this.configuration.getPoolsList().stream().anyMatch((p) -> p.getOrders() && p.getName().equals(pool));
	}

}
