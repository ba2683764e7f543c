package io.balsamlane.router.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.OrderLimits;
import io.balsamlane.core.orders.StageBalance;
import io.balsamlane.core.orders.StageChange;
import io.balsamlane.core.orders.StageOrders;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.store.LeaseStore;
import io.balsamlane.router.timeline.Timeline;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Maintains the division of the engines of each service between prefill and decode. The
 * router that owns a service by rendezvous hashing issues the orders, protected by a
 * lease in the platform store. All work runs on one event loop.
 */
public final class StageOrderDriver {

	private static final String OWNER_PREFIX = "stages/";

	private static final long TICK_MILLIS = 250;

	/**
	 * Time for which a change must be requested without interruption, so that a short gap
	 * in the list of engines causes no order.
	 */
	private static final long MIN_STABLE_NANOS = 1_500_000_000L;

	private final Vertx vertx;

	private final String host;

	private final OrderLimits limits;

	private final long changeNanos;

	private final PeerNetwork peers;

	private final UniformRandomProvider random;

	private final Supplier<Map<String, StageBalance>> balances;

	private final Function<String, List<ListedServer>> engines;

	private final OrderExecutor executor;

	private final Map<String, StageOrders> orders = new HashMap<>();

	private final Map<String, RequestedChange> requestedChanges = new HashMap<>();

	private boolean stopping;

	private StageOrderDriver(Vertx vertx, String host, OrderLimits limits, long changeNanos, LeaseStore store,
			EngineOrderClient engineOrders, PeerNetwork peers, Timeline timeline, UniformRandomProvider random,
			Supplier<Map<String, StageBalance>> balances, Function<String, List<ListedServer>> engines) {
		this.vertx = vertx;
		this.host = host;
		this.limits = limits;
		this.changeNanos = changeNanos;
		this.peers = peers;
		this.random = random;
		this.balances = balances;
		this.engines = engines;
		this.executor = new OrderExecutor(vertx.getOrCreateContext(), store, engineOrders, timeline, this::endpoint);
	}

	/**
	 * Create the driver.
	 * @param vertx the event loop to use
	 * @param host name of this host
	 * @param limits times of orders and their leases
	 * @param changeNanos time that an engine takes to change its role, in nanoseconds
	 * @param store the platform store
	 * @param engineOrders client for the order API of engines
	 * @param peers the network of routers
	 * @param timeline records the orders
	 * @param random source of randomness for pauses
	 * @param balances supplies the balance of each service that has engines
	 * @param engines returns the engines of a service that are in operation
	 * @return the driver, not started
	 */
	public static StageOrderDriver create(Vertx vertx, String host, OrderLimits limits, long changeNanos,
			LeaseStore store, EngineOrderClient engineOrders, PeerNetwork peers, Timeline timeline,
			UniformRandomProvider random, Supplier<Map<String, StageBalance>> balances,
			Function<String, List<ListedServer>> engines) {
		return new StageOrderDriver(vertx, host, limits, changeNanos, store, engineOrders, peers, timeline, random,
				balances, engines);
	}

	/**
	 * Start to issue orders.
	 */
	public void start() {
		this.vertx.setPeriodic(TICK_MILLIS, (id) -> tick());
	}

	/**
	 * Handle the restoration of the store from a copy: leases of before no longer count.
	 */
	public void storeRestored() {
		long nowNanos = System.nanoTime();
		this.orders.values().forEach((stageOrders) -> stageOrders.storeRestored(nowNanos));
	}

	/**
	 * Release all services. Each lease is revoked as soon as no order can take effect any
	 * more.
	 */
	public void release() {
		this.stopping = true;
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		this.balances.get().forEach((service, balance) -> {
			StageOrders stageOrders = this.orders.computeIfAbsent(service,
					(name) -> StageOrders.create(this.host, this.limits, this.changeNanos, this.random, nowNanos));
			boolean owned = !this.stopping && this.peers.members().owns(OWNER_PREFIX + service);
			stageOrders.update(owned,
					owned ? stableChange(service, balance.nextChange(this.engines.apply(service)), nowNanos)
							: Optional.empty());
			this.executor.execute(service, stageOrders, stageOrders.tick(nowNanos));
		});
	}

	private Optional<StageChange> stableChange(String service, Optional<StageChange> change, long nowNanos) {
		RequestedChange requested = this.requestedChanges.get(service);
		if (requested == null || !requested.change().equals(change)) {
			this.requestedChanges.put(service, new RequestedChange(change, nowNanos));
			return Optional.empty();
		}
		return (nowNanos - requested.sinceNanos() >= MIN_STABLE_NANOS) ? change : Optional.empty();
	}

	private Endpoint endpoint(ServerName engine) {
		return this.balances.get()
			.keySet()
			.stream()
			.flatMap((service) -> this.engines.apply(service).stream())
			.filter((server) -> server.name().equals(engine))
			.map((server) -> server.server().endpoint())
			.findFirst()
			.orElse(null);
	}

	private record RequestedChange(Optional<StageChange> change, long sinceNanos) {
	}

}
