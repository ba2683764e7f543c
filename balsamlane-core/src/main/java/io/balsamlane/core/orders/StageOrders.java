package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.balsamlane.core.orders.OrderAction.IssueOrder;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Issues orders that change the stage of a service's engines, one at a time, under the
 * service's lease. The lease is held only while a change is requested, so no calls are
 * made without changes. After each order, no further order is issued until the engine has
 * changed or the order can no longer take effect. This class is not thread-safe.
 */
public final class StageOrders implements OrderEventHandler {

	private final OrderLimits limits;

	private final OrderLease lease;

	private final long changeNanos;

	private Optional<StageChange> requestedChange = Optional.empty();

	private boolean owned;

	private long lastCall;

	private long orderCall;

	private long noOrderBeforeNanos;

	private StageOrders(String host, OrderLimits limits, long changeNanos, UniformRandomProvider random,
			long nowNanos) {
		this.limits = limits;
		this.changeNanos = changeNanos;
		this.lease = new OrderLease(host, limits, random, this::nextCall, nowNanos);
		this.noOrderBeforeNanos = nowNanos;
	}

	/**
	 * Create the order control of a service.
	 * @param host name of this router's host
	 * @param limits time limits
	 * @param changeNanos time from the acceptance of an order until the engine has
	 * changed and the host list shows it, in nanoseconds
	 * @param random source of randomness for retry delays and holder values
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the order control, which does not hold a lease yet
	 */
	public static StageOrders create(String host, OrderLimits limits, long changeNanos, UniformRandomProvider random,
			long nowNanos) {
		return new StageOrders(host, limits, changeNanos, random, nowNanos);
	}

	private long nextCall() {
		return ++this.lastCall;
	}

	/**
	 * Update the ownership of the service and the requested change.
	 * @param ownedNow whether this router owns the service's orders
	 * @param change the next change, empty if none is requested
	 */
	public void update(boolean ownedNow, Optional<StageChange> change) {
		this.owned = ownedNow;
		this.requestedChange = change;
	}

	/**
	 * Return the actions that are due.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the actions to carry out
	 */
	public List<OrderAction> tick(long nowNanos) {
		boolean quiescent = this.orderCall == 0 && nowNanos - this.noOrderBeforeNanos >= 0;
		boolean wanted = this.owned && (this.requestedChange.isPresent() || !quiescent);
		List<OrderAction> actions = new ArrayList<>(this.lease.tick(wanted, quiescent, nowNanos));
		if (this.owned && quiescent && this.requestedChange.isPresent() && this.lease.mayIssue(nowNanos)) {
			this.orderCall = nextCall();
			long preferredNanos = nowNanos + this.limits.orderNanos() / 2;
			long lastNanos = this.lease.lastOrderNanos();
			long notAfterNanos = (preferredNanos - lastNanos < 0) ? preferredNanos : lastNanos;
			this.noOrderBeforeNanos = notAfterNanos + 2 * this.limits.orderNanos();
			actions.add(new IssueOrder(this.orderCall, this.requestedChange.get().engine(),
					new EngineOrder(EngineOrder.Kind.ROLE, this.requestedChange.get().role()), this.lease.fencing(),
					notAfterNanos));
		}
		return actions;
	}

	@Override
	public List<OrderAction> handle(OrderEvent event, long nowNanos) {
		if (event.call() != this.orderCall) {
			return this.lease.handle(event, nowNanos);
		}
		this.orderCall = 0;
		if (event instanceof OrderEvent.OrderStale) {
			this.lease.abandon(nowNanos);
		}
		if (event instanceof OrderEvent.OrderAccepted) {
			this.noOrderBeforeNanos = nowNanos + this.changeNanos;
		}
		return List.of();
	}

	/**
	 * Handle the restoration of the store from a copy, which may have lost the lease of
	 * this router or of another one.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void storeRestored(long nowNanos) {
		this.lease.storeRestored(nowNanos);
	}

	/**
	 * Return whether this router holds the lease.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if the lease cannot have expired
	 */
	public boolean held(long nowNanos) {
		return this.lease.held(nowNanos);
	}

}
