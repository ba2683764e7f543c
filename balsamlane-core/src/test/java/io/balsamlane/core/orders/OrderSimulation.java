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
 * Discrete-event simulation of several lease holders, a store with leases, and engines.
 * It injects process pauses, lost answers, delayed orders and clock drift. Times are in
 * milliseconds of simulated time.
 */
final class OrderSimulation {

	static final long ORDER_MILLIS = 100;

	static final long LEASE_MILLIS = 800;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int POOL_ENGINES = 5;

	/** Corresponds to 40 percent of the engines. */
	private static final int MAX_CHANGING = 2;

	private static final long TICK_MILLIS = 10;

	final List<Holder> holders;

	final Map<ServerName, Engine> engines = new TreeMap<>();

	final List<String> violations = new ArrayList<>();

	private final boolean checksFencing;

	private final long maxOrderDelayMillis;

	private final int loadsPerMinute;

	private final UniformRandomProvider random;

	private final PriorityQueue<Step> steps = new PriorityQueue<>((a, b) -> (a.timeMillis != b.timeMillis)
			? Long.compare(a.timeMillis, b.timeMillis) : Long.compare(a.number, b.number));

	private long nowMillis;

	private long nextNumber;

	private boolean injectFaults = true;

	private String key;

	private long keyVersion;

	private long keyLease;

	private long nextVersion = 1;

	private final Map<Long, Long> leaseEndMillis = new TreeMap<>();

	private int modelNumber;

	OrderSimulation(long seed, int holderCount, boolean checksFencing, long maxOrderDelayMillis, int loadsPerMinute) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.checksFencing = checksFencing;
		this.maxOrderDelayMillis = maxOrderDelayMillis;
		this.loadsPerMinute = loadsPerMinute;
		IntStream.range(0, POOL_ENGINES).forEach((i) -> this.engines.put(ServerName.of("engine-" + i), new Engine()));
		this.holders = IntStream.range(0, holderCount).mapToObj(Holder::new).toList();
	}

	/**
	 * Run with injected faults, then without faults for long enough that the orders of
	 * the remaining holder converge.
	 */
	void run(long faultMillis, long faultFreeMillis) {
		this.holders.forEach((holder) -> schedule(0, holder::tick));
		schedule(0, this::changeTarget);
		runUntil(faultMillis);
		this.injectFaults = false;
		this.holders.forEach((holder) -> {
			holder.owned = holder == this.holders.get(0);
			holder.receiveTarget(this.modelNumber);
		});
		runUntil(faultMillis + faultFreeMillis);
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
			checkHolders();
			checkLimits();
		}
	}

	private void schedule(long delayMillis, Runnable action) {
		this.steps.add(new Step(this.nowMillis + delayMillis, this.nextNumber++, action));
	}

	private boolean chance(double probability) {
		return this.injectFaults && this.random.nextDouble() < probability;
	}

	private long randomMillis(long millis) {
		return 1 + this.random.nextLong(Math.max(1, millis));
	}

	/**
	 * Change the target state. Each holder receives the change after a random delay.
	 */
	private void changeTarget() {
		if (this.injectFaults) {
			int number = ++this.modelNumber;
			this.holders
				.forEach((holder) -> schedule(randomMillis(2 * LEASE_MILLIS), () -> holder.receiveTarget(number)));
			schedule(randomMillis(LEASE_MILLIS / 4), this::changeTarget);
		}
	}

	private void expireLeases() {
		this.leaseEndMillis.values().removeIf((end) -> end <= this.nowMillis);
		if (this.key != null && !this.leaseEndMillis.containsKey(this.keyLease)) {
			this.key = null;
		}
	}

	private void checkHolders() {
		long held = this.holders.stream().filter((holder) -> holder.orders.held(holder.clock())).count();
		if (held > 1) {
			recordViolation("more than one holder considers its lease valid");
		}
		this.holders.stream().filter((holder) -> holder.orders.isConverged(holder.clock())).forEach((holder) -> {
			if (this.checksFencing
					&& this.engines.values().stream().anyMatch((engine) -> engine.fencing < holder.orders.fencing())) {
				recordViolation("orders of a holder converged but an engine still accepts orders of earlier holders");
			}
		});
	}

	/**
	 * Check the limits on engines out of service and on loads from the weight store.
	 */
	private void checkLimits() {
		long loading = this.engines.values().stream().filter((engine) -> engine.pending > 0).count();
		if (this.maxOrderDelayMillis < 2 * ORDER_MILLIS && loading > MAX_CHANGING) {
			recordViolation(loading + " engines change at the same time");
		}
		long loads = this.engines.values().stream().mapToLong((engine) -> engine.loads).sum();
		if (loads > 1 + this.nowMillis * this.loadsPerMinute / 60_000) {
			recordViolation(loads + " loads exceed the budget");
		}
	}

	private void recordViolation(String what) {
		if (this.violations.size() < 10) {
			this.violations.add("at " + this.nowMillis + " ms: " + what);
		}
	}

	private record Step(long timeMillis, long number, Runnable action) {
	}

	/**
	 * Engine that applies orders sequentially and takes some time to load a model.
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
				recordViolation("fencing " + issue.fencing() + " accepted after " + this.lastFencing);
			}
			this.lastFencing = Math.max(this.lastFencing, issue.fencing());
			this.fencing = OrderSimulation.this.checksFencing ? issue.fencing() : 0;
			boolean load = issue.order().kind() == EngineOrder.Kind.MODEL;
			this.loads += load ? 1 : 0;
			this.pending++;
			this.busyUntilMillis = Math.max(OrderSimulation.this.nowMillis, this.busyUntilMillis)
					+ (load ? randomMillis(ORDER_MILLIS) : 0);
			schedule(this.busyUntilMillis - OrderSimulation.this.nowMillis, () -> apply(issue.order()));
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
	 * Router that competes for the lease. While it is paused, ticks and answers are
	 * deferred.
	 */
	final class Holder {

		final PoolOrders orders;

		private final double clockRate;

		private boolean owned = true;

		private int knownModel;

		private long pausedUntilMillis;

		private long storeUnreachableUntilMillis;

		Holder(int number) {
			this.clockRate = 1 + 0.004 * (OrderSimulation.this.random.nextDouble() - 0.5);
			OrderLimits limits = new OrderLimits(LEASE_MILLIS * NANOS_PER_MILLI, ORDER_MILLIS * NANOS_PER_MILLI,
					10 * NANOS_PER_MILLI, 60 * NANOS_PER_MILLI, 40, OrderSimulation.this.loadsPerMinute, 100);
			this.orders = PoolOrders.create("host-" + number, limits, snapshot(), OrderSimulation.this.random, 0);
		}

		long clock() {
			return (long) (OrderSimulation.this.nowMillis * NANOS_PER_MILLI * this.clockRate);
		}

		private PoolSnapshot snapshot() {
			return new PoolSnapshot(this.owned,
					new PoolTarget("decode", "model-" + this.knownModel, List.of(), OrderSimulation.this.checksFencing),
					List.copyOf(OrderSimulation.this.engines.keySet()), 1);
		}

		void receiveTarget(int number) {
			whenNotPaused(() -> {
				this.knownModel = Math.max(this.knownModel, number);
				this.orders.update(snapshot(), clock());
			});
		}

		void whenNotPaused(Runnable action) {
			long waitMillis = this.pausedUntilMillis - OrderSimulation.this.nowMillis;
			if (waitMillis > 0) {
				schedule(waitMillis, () -> whenNotPaused(action));
			}
			else {
				action.run();
			}
		}

		void tick() {
			if (chance(0.01)) {
				this.pausedUntilMillis = OrderSimulation.this.nowMillis + randomMillis(3 * LEASE_MILLIS);
			}
			if (chance(0.01)) {
				this.storeUnreachableUntilMillis = OrderSimulation.this.nowMillis + randomMillis(2 * LEASE_MILLIS);
			}
			if (chance(0.005)) {
				this.owned = !this.owned;
				receiveTarget(this.knownModel);
			}
			whenNotPaused(() -> {
				execute(this.orders.tick(clock()));
				schedule(TICK_MILLIS, this::tick);
			});
		}

		private void execute(List<OrderAction> actions) {
			actions.forEach((action) -> {
				// The process may be paused between a decision and its execution.
				if (chance(0.01)) {
					this.pausedUntilMillis = OrderSimulation.this.nowMillis + randomMillis(3 * LEASE_MILLIS);
				}
				whenNotPaused(
						() -> schedule(chance(0.1) ? randomMillis(20) : 0, () -> whenNotPaused(() -> send(action))));
			});
		}

		private void send(OrderAction action) {
			if (action instanceof OrderAction.IssueOrder issue) {
				issue(issue);
				return;
			}
			long delayMillis = randomMillis(chance(0.05) ? 2 * ORDER_MILLIS : 4);
			if (OrderSimulation.this.nowMillis < this.storeUnreachableUntilMillis
					&& !(action instanceof OrderAction.ReadEngine)) {
				schedule(delayMillis, () -> answer(failure(action)));
				return;
			}
			boolean lost = chance(0.05);
			schedule(delayMillis, () -> {
				OrderEvent event = executeAction(action);
				answer(lost ? failure(action) : event);
			});
		}

		private void issue(OrderAction.IssueOrder issue) {
			if (clock() - issue.notAfterNanos() > 0) {
				answer(new OrderEvent.OrderNotAccepted(issue.call()));
				return;
			}
			long delayMillis = chance(0.3) ? OrderSimulation.this.maxOrderDelayMillis - randomMillis(10)
					: randomMillis(4);
			boolean unanswered = delayMillis > ORDER_MILLIS || chance(0.1);
			if (unanswered) {
				schedule(ORDER_MILLIS, () -> answer(new OrderEvent.OrderOutcomeUnknown(issue.call())));
			}
			schedule(delayMillis, () -> {
				OrderEvent event = OrderSimulation.this.engines.get(issue.engine()).accept(issue);
				if (!unanswered) {
					answer(event);
				}
			});
		}

		private void answer(OrderEvent event) {
			if (event != null) {
				schedule(1, () -> whenNotPaused(() -> execute(this.orders.handle(event, clock()))));
			}
		}

		private OrderEvent failure(OrderAction action) {
			if (action instanceof OrderAction.ReadEngine read) {
				return new OrderEvent.EngineReadFailed(read.call());
			}
			if (action instanceof OrderAction.ReadHolder read) {
				return new OrderEvent.StoreFailed(read.call());
			}
			if (action instanceof OrderAction.GrantLease grant) {
				return new OrderEvent.StoreFailed(grant.call());
			}
			if (action instanceof OrderAction.RenewLease renew) {
				return new OrderEvent.StoreFailed(renew.call());
			}
			return (action instanceof OrderAction.WriteHolder write) ? new OrderEvent.StoreFailed(write.call()) : null;
		}

		private OrderEvent executeAction(OrderAction action) {
			OrderSimulation simulation = OrderSimulation.this;
			simulation.expireLeases();
			if (action instanceof OrderAction.ReadEngine read) {
				Engine engine = simulation.engines.get(read.engine());
				return new OrderEvent.EngineRead(read.call(),
						new EngineState(engine.role, engine.model, List.of(), engine.fencing, engine.pending));
			}
			if (action instanceof OrderAction.ReadHolder read) {
				return (simulation.key != null)
						? new OrderEvent.HolderFound(read.call(), simulation.key, simulation.keyVersion)
						: new OrderEvent.HolderAbsent(read.call());
			}
			if (action instanceof OrderAction.GrantLease grant) {
				long lease = simulation.nextVersion++;
				simulation.leaseEndMillis.put(lease, simulation.nowMillis + grant.leaseMillis());
				return new OrderEvent.LeaseGranted(grant.call(), lease);
			}
			if (action instanceof OrderAction.RenewLease renew) {
				return (simulation.leaseEndMillis.replace(renew.lease(), simulation.nowMillis + LEASE_MILLIS) != null)
						? new OrderEvent.LeaseRenewed(renew.call()) : new OrderEvent.LeaseNotFound(renew.call());
			}
			if (action instanceof OrderAction.RevokeLease revoke) {
				simulation.leaseEndMillis.remove(revoke.lease());
				return null;
			}
			return write((OrderAction.WriteHolder) action);
		}

		private OrderEvent write(OrderAction.WriteHolder write) {
			OrderSimulation simulation = OrderSimulation.this;
			if (!simulation.leaseEndMillis.containsKey(write.lease())) {
				return new OrderEvent.LeaseNotFound(write.call());
			}
			if (simulation.key != null) {
				return new OrderEvent.HolderRefused(write.call());
			}
			simulation.key = write.holder();
			simulation.keyLease = write.lease();
			simulation.keyVersion = simulation.nextVersion++;
			return new OrderEvent.HolderWritten(write.call(), simulation.keyVersion);
		}

	}

}
