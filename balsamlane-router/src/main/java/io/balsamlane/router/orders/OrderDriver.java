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
 * Issues orders to the engines of all pools for which the configuration enables orders.
 * <p>
 * All work runs on one event loop, so each {@link PoolOrders} is called by one thread
 * only.
 */
public final class OrderDriver {

	private static final Logger logger = System.getLogger(OrderDriver.class.getName());

	/** Prefix of the keys in the platform store, followed by the name of the pool. */
	public static final String KEY_PREFIX = "balsamlane/orders/";

	private static final String OWNER_PREFIX = "orders/";

	private static final int TICK_MILLIS = 20;

	private static final int MAX_ENGINES_PER_POOL = 1024;

	/** Minimum duration of a lease, as a multiple of the time limit of an order. */
	private static final int MIN_ORDERS_PER_LEASE = 4;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final Context context;

	private final String host;

	private final OrderLimits limits;

	private final PeerNetwork peers;

	private final OrderExecutor executor;

	private final UniformRandomProvider random;

	private final Map<String, PoolOrders> pools = new TreeMap<>();

	private final Map<String, PoolSnapshot> snapshots = new HashMap<>();

	private final Map<ServerName, Endpoint> endpoints = new HashMap<>();

	private Configuration configuration = Configuration.getDefaultInstance();

	private HostList hosts = HostList.empty();

	private boolean stopping;

	private long timer = -1;

	private volatile int leasesHeld;

	private OrderDriver(Vertx vertx, String host, OrderSettings settings, LeaseStore store, EngineOrderClient engines,
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
	 * Create the driver.
	 * @param vertx the event loops to use
	 * @param host name of this host
	 * @param settings times and limits of orders
	 * @param store the platform store
	 * @param engines client for the order API of engines
	 * @param peers the network of routers
	 * @param timeline records the orders
	 * @param random source of randomness for pauses
	 * @return the driver, not started
	 */
	public static OrderDriver create(Vertx vertx, String host, OrderSettings settings, LeaseStore store,
			EngineOrderClient engines, PeerNetwork peers, Timeline timeline, UniformRandomProvider random) {
		return new OrderDriver(vertx, host, settings, store, engines, peers, timeline, random);
	}

	static OrderLimits limits(OrderSettings settings) {
		long leaseMillis = Math.max(settings.getLeaseMillis(), (long) MIN_ORDERS_PER_LEASE * settings.getOrderMillis());
		return new OrderLimits(leaseMillis * NANOS_PER_MILLI, settings.getOrderMillis() * NANOS_PER_MILLI,
				settings.getRetryMillis() * NANOS_PER_MILLI, settings.getVerifyMillis() * NANOS_PER_MILLI,
				settings.getMaxChangingPercent(), settings.getLoadsPerMinute(), MAX_ENGINES_PER_POOL);
	}

	/**
	 * Start to acquire the leases of pools and to issue orders.
	 */
	public void start() {
		this.peers.addMemberListener((view) -> this.context.runOnContext((ignored) -> refresh()));
		this.context.runOnContext((ignored) -> this.timer = this.vertx.setPeriodic(TICK_MILLIS, (id) -> tick()));
	}

	/**
	 * Apply the configuration and the host list. This method may be called on any thread.
	 * @param next the current configuration
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
	 * Release all pools. No further order is issued, and each lease is revoked as soon as
	 * no earlier order can take effect any more.
	 */
	public void release() {
		this.context.runOnContext((ignored) -> {
			this.stopping = true;
			refresh();
		});
	}

	/**
	 * Stop the driver. Leases that are still held expire on their own.
	 */
	public void stop() {
		this.context.runOnContext((ignored) -> this.vertx.cancelTimer(this.timer));
	}

	/**
	 * Return the number of pools to which this router issues orders. This method may be
	 * called on any thread.
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
		this.snapshots.forEach((pool, old) -> next.putIfAbsent(pool,
				new PoolSnapshot(false, old.target(), List.of(), old.managedPools())));
		this.snapshots.clear();
		this.snapshots.putAll(next);
		next.forEach((pool, snapshot) -> this.pools
			.computeIfAbsent(pool, (name) -> PoolOrders.create(this.host, this.limits, snapshot, this.random, nowNanos))
			.update(snapshot, nowNanos));
	}

	private void tick() {
		this.pools.forEach((name, orders) -> {
			boolean held = orders.held(System.nanoTime());
			this.executor.execute(name, orders, orders.tick(System.nanoTime()));
			if (held && !orders.held(System.nanoTime())) {
				logger.log(Level.INFO, "Stopped issuing orders to the engines of pool {0}, fencing number {1,number,#}",
						name, orders.fencing());
			}
		});
		long nowNanos = System.nanoTime();
		this.leasesHeld = (int) this.pools.values().stream().filter((orders) -> orders.held(nowNanos)).count();
		boolean removed = this.snapshots.entrySet()
			.removeIf((entry) -> !entry.getValue().owned() && this.pools.get(entry.getKey()).idle(nowNanos)
					&& !isManaged(entry.getKey()));
		if (removed) {
			this.pools.keySet().retainAll(this.snapshots.keySet());
		}
	}

	private boolean isManaged(String pool) {
		return this.configuration.getPoolsList().stream().anyMatch((p) -> p.getOrders() && p.getName().equals(pool));
	}

}
