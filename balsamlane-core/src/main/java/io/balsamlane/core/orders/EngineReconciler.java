package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.EngineOrder.Kind;
import io.balsamlane.core.orders.OrderAction.IssueOrder;
import io.balsamlane.core.orders.OrderAction.ReadEngine;

/**
 * Brings the engines of one pool to their target state while this router may issue
 * orders.
 * <p>
 * An order is only issued in answer to a fresh reading of the engine's state, and at most
 * one order per engine is under way. An engine counts as out of service while it is
 * changing, and also while its state is unknown: a change that breaks engines stops by
 * itself at the limit.
 */
final class EngineReconciler {

	private final OrderLimits limits;

	private final LongSupplier calls;

	private final Map<ServerName, Slot> slots = new TreeMap<>();

	private PoolTarget target;

	private long loadIntervalNanos;

	private long nextLoadNanos;

	private long settledNanos;

	EngineReconciler(OrderLimits limits, LongSupplier calls, long nowNanos) {
		this.limits = limits;
		this.calls = calls;
		this.settledNanos = nowNanos;
	}

	void update(PoolSituation situation, long nowNanos) {
		List<ServerName> engines = situation.engines().stream().limit(this.limits.maxEngines()).toList();
		this.slots.keySet().retainAll(engines);
		engines.forEach((engine) -> this.slots.computeIfAbsent(engine, (name) -> new Slot(nowNanos)));
		this.loadIntervalNanos = this.limits.loadIntervalNanos(situation.managedPools());
		if (!situation.target().equals(this.target)) {
			this.target = situation.target();
			this.slots.values().forEach((slot) -> slot.readAgainAt(nowNanos));
		}
	}

	/**
	 * Forgets everything that was read or sent under an earlier lease.
	 * @param nowNanos the time
	 */
	void restart(long nowNanos) {
		this.slots.replaceAll((engine, slot) -> new Slot(nowNanos));
		// A predecessor may have used its budget until the moment it lost the lease.
		this.nextLoadNanos = nowNanos + this.loadIntervalNanos;
	}

	/**
	 * Tells whether no order of this router can take effect any more.
	 * @param nowNanos the time
	 * @return true if no order is under way or undecided
	 */
	boolean settled(long nowNanos) {
		return nowNanos - this.settledNanos >= 0;
	}

	/**
	 * Tells whether all engines were seen in the target state.
	 * @return true if nothing is left to order
	 */
	boolean finished() {
		return this.slots.values().stream().allMatch((slot) -> slot.matches);
	}

	List<OrderAction> tick(long nowNanos) {
		List<OrderAction> reads = new ArrayList<>();
		this.slots.forEach((engine, slot) -> {
			if (slot.call == 0 && nowNanos - slot.nextReadNanos >= 0) {
				slot.call = this.calls.getAsLong();
				reads.add(new ReadEngine(slot.call, engine));
			}
		});
		return reads;
	}

	/**
	 * Handles the answer of an engine.
	 * @param event the answer
	 * @param fencing fencing number of the holder
	 * @param lastOrderNanos last moment at which the lease allows an order
	 * @param nowNanos the time
	 * @return the next order to this engine, empty if it needs none now
	 */
	List<OrderAction> handle(OrderEvent event, long fencing, long lastOrderNanos, long nowNanos) {
		Optional<Map.Entry<ServerName, Slot>> found = this.slots.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().call == event.call())
			.findFirst();
		if (found.isEmpty()) {
			return List.of();
		}
		Slot slot = found.get().getValue();
		slot.call = 0;
		slot.readAgainAt(nowNanos + this.limits.retryNanos());
		if (event instanceof OrderEvent.EngineRead read) {
			return decide(found.get().getKey(), slot, read.state(), fencing, lastOrderNanos, nowNanos);
		}
		if (event instanceof OrderEvent.OrderUndecided) {
			// A later order could overtake this one, so none follows until it cannot act.
			slot.readAgainAt(Math.max(slot.nextReadNanos, slot.settledNanos));
		}
		else if (event instanceof OrderEvent.EngineUnreadable) {
			slot.inService = false;
			slot.matches = false;
		}
		return List.of();
	}

	private List<OrderAction> decide(ServerName engine, Slot slot, EngineState state, long fencing, long lastOrderNanos,
			long nowNanos) {
		Optional<EngineOrder> difference = this.target.firstDifference(state);
		boolean raisesFencing = this.target.checksFencing() && state.fencing() < fencing;
		slot.matches = difference.isEmpty() && state.pendingOrders() == 0 && !raisesFencing;
		slot.changing &= !slot.matches;
		slot.inService = state.pendingOrders() == 0 && !slot.changing;
		if (slot.matches) {
			slot.readAgainAt(nowNanos + this.limits.verifyNanos());
		}
		if (state.pendingOrders() > 0 || slot.matches) {
			return List.of();
		}
		if (raisesFencing) {
			// Orders the role that the engine has: it changes nothing, but from now on
			// the engine refuses orders of earlier holders.
			String role = state.role().isEmpty() ? this.target.role() : state.role();
			return issue(engine, slot, new EngineOrder(Kind.ROLE, role), fencing, lastOrderNanos, nowNanos);
		}
		EngineOrder order = difference.orElseThrow();
		int loads = this.target.loads(order, state);
		boolean waits = loads > 0 && nowNanos - this.nextLoadNanos < 0;
		if (waits || !slot.changing && outOfService(slot) >= this.limits.maxChanging(this.slots.size())) {
			return List.of();
		}
		if (loads > 0) {
			this.nextLoadNanos = nowNanos + loads * this.loadIntervalNanos;
		}
		slot.changing = true;
		slot.inService = false;
		return issue(engine, slot, order, fencing, lastOrderNanos, nowNanos);
	}

	private long outOfService(Slot except) {
		return this.slots.values().stream().filter((slot) -> slot != except && !slot.inService).count();
	}

	private List<OrderAction> issue(ServerName engine, Slot slot, EngineOrder order, long fencing, long lastOrderNanos,
			long nowNanos) {
		// Half of the order time is left for connecting, so that the call as a whole is
		// bounded too.
		long wishedNanos = nowNanos + this.limits.orderNanos() / 2;
		long notAfterNanos = (wishedNanos - lastOrderNanos < 0) ? wishedNanos : lastOrderNanos;
		slot.call = this.calls.getAsLong();
		slot.settledNanos = notAfterNanos + this.limits.orderNanos();
		this.settledNanos = slot.settledNanos;
		return List.of(new IssueOrder(slot.call, engine, order, fencing, notAfterNanos));
	}

	/**
	 * What is known about one engine under the present lease.
	 */
	private static final class Slot {

		private long call;

		private boolean changing;

		private boolean inService;

		private boolean matches;

		private long nextReadNanos;

		private long settledNanos;

		Slot(long nowNanos) {
			readAgainAt(nowNanos);
		}

		void readAgainAt(long timeNanos) {
			this.nextReadNanos = timeNanos;
		}

	}

}
