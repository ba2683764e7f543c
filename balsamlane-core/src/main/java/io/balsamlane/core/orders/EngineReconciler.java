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
 * Reconciles the engines of one pool with their target state while this router may issue
 * orders.
 * <p>
 * An order is issued only in response to a fresh reading of the engine's state, and at
 * most one order per engine is outstanding. An engine counts as out of service while it
 * is changing and while its state is unknown, so a change that breaks engines stops at
 * the limit of engines that may be out of service.
 */
final class EngineReconciler {

	private final OrderLimits limits;

	private final LongSupplier calls;

	private final Map<ServerName, EngineStatus> statuses = new TreeMap<>();

	private PoolTarget target;

	private long loadIntervalNanos;

	private long nextLoadNanos;

	private long quiescentNanos;

	EngineReconciler(OrderLimits limits, LongSupplier calls, long nowNanos) {
		this.limits = limits;
		this.calls = calls;
		this.quiescentNanos = nowNanos;
	}

	void update(PoolSnapshot snapshot, long nowNanos) {
		List<ServerName> engines = snapshot.engines().stream().limit(this.limits.maxEngines()).toList();
		this.statuses.keySet().retainAll(engines);
		engines.forEach((engine) -> this.statuses.computeIfAbsent(engine, (name) -> new EngineStatus(nowNanos)));
		this.loadIntervalNanos = this.limits.loadIntervalNanos(snapshot.managedPools());
		if (!snapshot.target().equals(this.target)) {
			this.target = snapshot.target();
			this.statuses.values().forEach((status) -> status.scheduleRead(nowNanos));
		}
	}

	/**
	 * Discard everything that was read or sent under an earlier lease.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void restart(long nowNanos) {
		this.statuses.replaceAll((engine, status) -> new EngineStatus(nowNanos));
		// The previous holder may have used the load budget until it lost the lease.
		this.nextLoadNanos = nowNanos + this.loadIntervalNanos;
	}

	/**
	 * Return whether no order that this router has issued can still take effect.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if no order is outstanding or of unknown outcome
	 */
	boolean isQuiescent(long nowNanos) {
		return nowNanos - this.quiescentNanos >= 0;
	}

	/**
	 * Return whether all engines were observed in the target state.
	 * @return {@code true} if no further orders are needed
	 */
	boolean isConverged() {
		return this.statuses.values().stream().allMatch((status) -> status.matches);
	}

	List<OrderAction> tick(long nowNanos) {
		List<OrderAction> reads = new ArrayList<>();
		this.statuses.forEach((engine, status) -> {
			if (status.call == 0 && nowNanos - status.nextReadNanos >= 0) {
				status.call = this.calls.getAsLong();
				reads.add(new ReadEngine(status.call, engine));
			}
		});
		return reads;
	}

	/**
	 * Handle the answer of an engine.
	 * @param event the answer
	 * @param fencing fencing number of the lease holder
	 * @param lastOrderNanos latest time at which the lease permits an order, in
	 * nanoseconds
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the next order to this engine, empty if none is due
	 */
	List<OrderAction> handle(OrderEvent event, long fencing, long lastOrderNanos, long nowNanos) {
		Optional<Map.Entry<ServerName, EngineStatus>> found = this.statuses.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().call == event.call())
			.findFirst();
		if (found.isEmpty()) {
			return List.of();
		}
		EngineStatus status = found.get().getValue();
		status.call = 0;
		status.scheduleRead(nowNanos + this.limits.retryNanos());
		if (event instanceof OrderEvent.EngineRead read) {
			return decide(found.get().getKey(), status, read.state(), fencing, lastOrderNanos, nowNanos);
		}
		if (event instanceof OrderEvent.OrderOutcomeUnknown) {
			// A later order could overtake this one, so none is sent until this one can
			// no longer take effect.
			status.noReadBeforeNanos = status.quiescentNanos;
			status.scheduleRead(nowNanos);
		}
		else if (event instanceof OrderEvent.EngineReadFailed) {
			status.inService = false;
			status.matches = false;
		}
		return List.of();
	}

	private List<OrderAction> decide(ServerName engine, EngineStatus status, EngineState state, long fencing,
			long lastOrderNanos, long nowNanos) {
		Optional<EngineOrder> difference = this.target.firstDifference(state);
		boolean raisesFencing = this.target.checksFencing() && state.fencing() < fencing;
		status.matches = difference.isEmpty() && state.pendingOrders() == 0 && !raisesFencing;
		status.changing &= !status.matches;
		status.inService = state.pendingOrders() == 0 && !status.changing;
		if (status.matches) {
			status.scheduleRead(nowNanos + this.limits.verifyNanos());
		}
		if (state.pendingOrders() > 0 || status.matches) {
			return List.of();
		}
		if (raisesFencing) {
			// Ordering the engine's present role changes nothing but raises its fencing
			// number, so that it rejects orders of earlier holders.
			String role = state.role().isEmpty() ? this.target.role() : state.role();
			return issue(engine, status, new EngineOrder(Kind.ROLE, role), fencing, lastOrderNanos, nowNanos);
		}
		EngineOrder order = difference.orElseThrow();
		int loads = this.target.loads(order, state);
		boolean exceedsLoadBudget = loads > 0 && nowNanos - this.nextLoadNanos < 0;
		if (exceedsLoadBudget
				|| !status.changing && outOfService(status) >= this.limits.maxChanging(this.statuses.size())) {
			return List.of();
		}
		if (loads > 0) {
			this.nextLoadNanos = nowNanos + loads * this.loadIntervalNanos;
		}
		status.changing = true;
		status.inService = false;
		return issue(engine, status, order, fencing, lastOrderNanos, nowNanos);
	}

	private long outOfService(EngineStatus except) {
		return this.statuses.values().stream().filter((status) -> status != except && !status.inService).count();
	}

	private List<OrderAction> issue(ServerName engine, EngineStatus status, EngineOrder order, long fencing,
			long lastOrderNanos, long nowNanos) {
		// Half of the order time is reserved for connecting, so that the entire call is
		// bounded by the order time.
		long preferredNanos = nowNanos + this.limits.orderNanos() / 2;
		long notAfterNanos = (preferredNanos - lastOrderNanos < 0) ? preferredNanos : lastOrderNanos;
		status.call = this.calls.getAsLong();
		// One order time suffices before the lease is released, because a successor waits
		// for a second one. The holder itself has to wait for both.
		this.quiescentNanos = notAfterNanos + this.limits.orderNanos();
		status.quiescentNanos = notAfterNanos + 2 * this.limits.orderNanos();
		return List.of(new IssueOrder(status.call, engine, order, fencing, notAfterNanos));
	}

	/**
	 * State of one engine as observed under the current lease.
	 */
	private static final class EngineStatus {

		private long call;

		private boolean changing;

		private boolean inService;

		private boolean matches;

		private long nextReadNanos;

		private long quiescentNanos;

		private long noReadBeforeNanos;

		EngineStatus(long nowNanos) {
			this.nextReadNanos = nowNanos;
			this.noReadBeforeNanos = nowNanos;
		}

		void scheduleRead(long timeNanos) {
			this.nextReadNanos = (timeNanos - this.noReadBeforeNanos < 0) ? this.noReadBeforeNanos : timeNanos;
		}

	}

}
