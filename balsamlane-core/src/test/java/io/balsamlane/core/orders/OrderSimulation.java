package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.stream.IntStream;

import io.balsamlane.core.model.ServerName;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Several holders, a store with leases and engines in simulated time, with pauses, lost
 * answers, late orders and clocks that run at different rates. Times in milliseconds.
 */
final class OrderSimulation {

	static final long ORDER_MILLIS = 100;

	static final long LEASE_MILLIS = 800;

	static final int LOADS_PER_MINUTE = 600;

	private static final long NANOS = 1_000_000;

	private static final int POOL_ENGINES = 5;

	/** 40 percent of the engines. */
	private static final int MAX_CHANGING = 2;

	private static final long TICK_MILLIS = 10;

	final List<Holder> holders;

	final Map<ServerName, Engine> engines = new TreeMap<>();

	final List<String> violations = new ArrayList<>();

	private final boolean checksFencing;

	private final long longestEffectMillis;

	private final UniformRandomProvider random;

	private final PriorityQueue<Step> steps = new PriorityQueue<>((a, b) -> (a.timeMillis != b.timeMillis)
			? Long.compare(a.timeMillis, b.timeMillis) : Long.compare(a.number, b.number));

	private long nowMillis;

	private long nextNumber;

	private boolean faulty = true;

	private String key;

	private long keyVersion;

	private long keyLease;

	private long nextVersion = 1;

	private final Map<Long, Long> leaseEndMillis = new TreeMap<>();

	private int modelNumber;

	OrderSimulation(long seed, int holderCount, boolean checksFencing, long longestEffectMillis) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.checksFencing = checksFencing;
		this.longestEffectMillis = longestEffectMillis;
		IntStream.range(0, POOL_ENGINES).forEach((i) -> this.engines.put(ServerName.of("engine-" + i), new Engine()));
		this.holders = IntStream.range(0, holderCount).mapToObj(Holder::new).toList();
	}

	/**
	 * Runs with faults, then without, long enough for one holder to finish.
	 */
	void run(long faultyMillis, long quietMillis) {
		this.holders.forEach((holder) -> at(0, holder::tick));
		at(0, this::changeTarget);
		runUntil(faultyMillis);
		this.faulty = false;
		this.holders.forEach((holder) -> {
			holder.owned = holder == this.holders.get(0);
			holder.learn(this.modelNumber);
		});
		runUntil(faultyMillis + quietMillis);
	}

	String lastModel() {
		return "model-" + this.modelNumber;
	}

	private void runUntil(long endMillis) {
		while (this.steps.peek().timeMillis <= endMillis) {
			Step step = this.steps.remove();
			this.nowMillis = step.timeMillis;
			step.action.run();
			expireLeases();
			check();
			checkLimits();
		}
	}

	private void at(long delayMillis, Runnable action) {
		this.steps.add(new Step(this.nowMillis + delayMillis, this.nextNumber++, action));
	}

	private boolean chance(double probability) {
		return this.faulty && this.random.nextDouble() < probability;
	}

	private long upTo(long millis) {
		return 1 + this.random.nextLong(Math.max(1, millis));
	}

	/**
	 * Raises the target; each holder learns of it at a time of its own.
	 */
	private void changeTarget() {
		if (this.faulty) {
			int number = ++this.modelNumber;
			this.holders.forEach((holder) -> at(upTo(4 * LEASE_MILLIS), () -> holder.learn(number)));
			at(upTo(3 * LEASE_MILLIS), this::changeTarget);
		}
	}

	private void expireLeases() {
		this.leaseEndMillis.values().removeIf((end) -> end <= this.nowMillis);
		if (this.key != null && !this.leaseEndMillis.containsKey(this.keyLease)) {
			this.key = null;
		}
	}

	private void check() {
		long held = this.holders.stream().filter((holder) -> holder.orders.held(holder.clock())).count();
		if (held > 1) {
			violate("two holders rely on their lease");
		}
		this.holders.stream().filter((holder) -> holder.orders.finished(holder.clock())).forEach((holder) -> {
			if (this.checksFencing
					&& this.engines.values().stream().anyMatch((engine) -> engine.fencing < holder.orders.fencing())) {
				violate("a holder has finished but an engine still accepts earlier holders");
			}
		});
	}

	/**
	 * Checks the limits that keep a pool's capacity and spare the weight store.
	 */
	private void checkLimits() {
		long loading = this.engines.values().stream().filter((engine) -> engine.pending > 0).count();
		if (this.longestEffectMillis < 2 * ORDER_MILLIS && loading > MAX_CHANGING) {
			violate(loading + " engines change at once");
		}
		long loads = this.engines.values().stream().mapToLong((engine) -> engine.loads).sum();
		if (loads > 1 + this.nowMillis * LOADS_PER_MINUTE / 60_000) {
			violate(loads + " loads exceed the budget");
		}
	}

	private void violate(String what) {
		if (this.violations.size() < 10) {
			this.violations.add("at " + this.nowMillis + " ms: " + what);
		}
	}

	private record Step(long timeMillis, long number, Runnable action) {
	}

	/**
	 * Engine that loads for a while and applies orders one after the other.
	 */
	final class Engine {

		String model = "";

		String role = "";

		long fencing;

		int pending;

		int loads;

		private long lastFencing;

		private long busyUntilMillis;

		OrderEvent accept(OrderAction.IssueOrder issue) {
			if (OrderSimulation.this.checksFencing && issue.fencing() < this.fencing) {
				return new OrderEvent.OrderStale(issue.call());
			}
			if (issue.fencing() < this.lastFencing) {
				violate("fencing " + issue.fencing() + " accepted after " + this.lastFencing);
			}
			this.lastFencing = Math.max(this.lastFencing, issue.fencing());
			this.fencing = OrderSimulation.this.checksFencing ? issue.fencing() : 0;
			boolean load = issue.order().kind() == EngineOrder.Kind.MODEL;
			this.loads += load ? 1 : 0;
			this.pending++;
			this.busyUntilMillis = Math.max(OrderSimulation.this.nowMillis, this.busyUntilMillis)
					+ (load ? upTo(ORDER_MILLIS) : 0);
			at(this.busyUntilMillis - OrderSimulation.this.nowMillis, () -> apply(issue.order()));
			return new OrderEvent.OrderAccepted(issue.call());
		}

		private void apply(EngineOrder order) {
			this.pending--;
			if (order.kind() == EngineOrder.Kind.MODEL) {
				this.model = order.value();
			}
			else {
				this.role = order.value();
			}
		}

	}

	/**
	 * One router; while it is paused neither its ticks nor answers reach it.
	 */
	final class Holder {

		final PoolOrders orders;

		private final double clockRate;

		private boolean owned = true;

		private int known;

		private long pausedUntilMillis;

		Holder(int number) {
			this.clockRate = 1 + 0.004 * (OrderSimulation.this.random.nextDouble() - 0.5);
			OrderLimits limits = new OrderLimits(LEASE_MILLIS * NANOS, ORDER_MILLIS * NANOS, 30 * NANOS, 60 * NANOS, 40,
					LOADS_PER_MINUTE, 100);
			this.orders = PoolOrders.create("host-" + number, limits, situation(), OrderSimulation.this.random, 0);
		}

		long clock() {
			return (long) (OrderSimulation.this.nowMillis * NANOS * this.clockRate);
		}

		private PoolSituation situation() {
			return new PoolSituation(this.owned,
					new PoolTarget("decode", "model-" + this.known, List.of(), OrderSimulation.this.checksFencing),
					List.copyOf(OrderSimulation.this.engines.keySet()), 1);
		}

		void learn(int number) {
			awake(() -> {
				this.known = Math.max(this.known, number);
				this.orders.update(situation(), clock());
			});
		}

		void awake(Runnable action) {
			long waitMillis = this.pausedUntilMillis - OrderSimulation.this.nowMillis;
			if (waitMillis > 0) {
				at(waitMillis, () -> awake(action));
			}
			else {
				action.run();
			}
		}

		void tick() {
			if (chance(0.01)) {
				this.pausedUntilMillis = OrderSimulation.this.nowMillis + upTo(3 * LEASE_MILLIS);
			}
			if (chance(0.005)) {
				this.owned = !this.owned;
				learn(this.known);
			}
			awake(() -> {
				carryOut(this.orders.tick(clock()));
				at(TICK_MILLIS, this::tick);
			});
		}

		private void carryOut(List<OrderAction> actions) {
			actions.forEach((action) -> {
				// The process can be paused between a decision and its execution.
				if (chance(0.01)) {
					this.pausedUntilMillis = OrderSimulation.this.nowMillis + upTo(3 * LEASE_MILLIS);
				}
				awake(() -> at(chance(0.5) ? upTo(20) : 0, () -> awake(() -> send(action))));
			});
		}

		private void send(OrderAction action) {
			if (action instanceof OrderAction.IssueOrder issue) {
				issue(issue);
				return;
			}
			long delayMillis = upTo(chance(0.05) ? 2 * ORDER_MILLIS : 4);
			boolean lost = chance(0.05);
			at(delayMillis, () -> answer(lost ? failure(action, atBackend(action)) : atBackend(action)));
		}

		private void issue(OrderAction.IssueOrder issue) {
			if (clock() - issue.notAfterNanos() > 0) {
				answer(new OrderEvent.OrderNotTaken(issue.call()));
				return;
			}
			long delayMillis = upTo(chance(0.2) ? OrderSimulation.this.longestEffectMillis : 4);
			boolean unanswered = delayMillis > ORDER_MILLIS || chance(0.1);
			if (unanswered) {
				at(ORDER_MILLIS, () -> answer(new OrderEvent.OrderUndecided(issue.call())));
			}
			at(delayMillis, () -> {
				OrderEvent event = OrderSimulation.this.engines.get(issue.engine()).accept(issue);
				if (!unanswered) {
					answer(event);
				}
			});
		}

		private void answer(OrderEvent event) {
			if (event != null) {
				at(1, () -> awake(() -> carryOut(this.orders.handle(event, clock()))));
			}
		}

		private OrderEvent failure(OrderAction action, OrderEvent real) {
			return (action instanceof OrderAction.ReadEngine) ? new OrderEvent.EngineUnreadable(real.call())
					: (real != null) ? new OrderEvent.StoreFailed(real.call()) : null;
		}

		private OrderEvent atBackend(OrderAction action) {
			OrderSimulation sim = OrderSimulation.this;
			sim.expireLeases();
			if (action instanceof OrderAction.ReadEngine read) {
				Engine engine = sim.engines.get(read.engine());
				return new OrderEvent.EngineRead(read.call(),
						new EngineState(engine.role, engine.model, List.of(), engine.fencing, engine.pending));
			}
			if (action instanceof OrderAction.ReadHolder read) {
				return (sim.key != null) ? new OrderEvent.HolderFound(read.call(), sim.key, sim.keyVersion)
						: new OrderEvent.HolderAbsent(read.call());
			}
			if (action instanceof OrderAction.GrantLease grant) {
				long lease = sim.nextVersion++;
				sim.leaseEndMillis.put(lease, sim.nowMillis + grant.leaseMillis());
				return new OrderEvent.LeaseGranted(grant.call(), lease);
			}
			if (action instanceof OrderAction.RenewLease renew) {
				return (sim.leaseEndMillis.replace(renew.lease(), sim.nowMillis + LEASE_MILLIS) != null)
						? new OrderEvent.LeaseRenewed(renew.call()) : new OrderEvent.LeaseGone(renew.call());
			}
			if (action instanceof OrderAction.RevokeLease revoke) {
				sim.leaseEndMillis.remove(revoke.lease());
				return null;
			}
			return write((OrderAction.WriteHolder) action);
		}

		private OrderEvent write(OrderAction.WriteHolder write) {
			OrderSimulation sim = OrderSimulation.this;
			if (!sim.leaseEndMillis.containsKey(write.lease())) {
				return new OrderEvent.LeaseGone(write.call());
			}
			if (sim.key != null) {
				return new OrderEvent.HolderRefused(write.call());
			}
			sim.key = write.holder();
			sim.keyLease = write.lease();
			sim.keyVersion = sim.nextVersion++;
			return new OrderEvent.HolderWritten(write.call(), sim.keyVersion);
		}

	}

}
