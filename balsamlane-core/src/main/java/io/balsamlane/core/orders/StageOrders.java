package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.balsamlane.core.orders.OrderAction.IssueOrder;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Orders that change the stage of a service's engines, one at a time, under the service's
 * lease. The lease is held only while a change is wished, so that a calm fleet makes no
 * calls. After each order nothing is ordered until the engine has changed or the order
 * can no longer take effect. Not safe for use by several threads.
 */
public final class StageOrders implements OrderEventHandler {

	private final OrderLimits limits;

	private final OrderLease lease;

	private final long changeNanos;

	private Optional<StageChange> wish = Optional.empty();

	private boolean owned;

	private long lastCall;

	private long orderCall;

	private long quietUntilNanos;

	private StageOrders(String host, OrderLimits limits, long changeNanos, UniformRandomProvider random,
			long nowNanos) {
		this.limits = limits;
		this.changeNanos = changeNanos;
		this.lease = new OrderLease(host, limits, random, this::nextCall, nowNanos);
		this.quietUntilNanos = nowNanos;
	}

	/**
	 * Creates the orders of a service.
	 * @param host name of this router's host
	 * @param limits time limits
	 * @param changeNanos time that an engine takes to change, with the time until the
	 * list shows it
	 * @param random source of pauses
	 * @param nowNanos the time
	 * @return the orders, without a lease
	 */
	public static StageOrders create(String host, OrderLimits limits, long changeNanos, UniformRandomProvider random,
			long nowNanos) {
		return new StageOrders(host, limits, changeNanos, random, nowNanos);
	}

	private long nextCall() {
		return ++this.lastCall;
	}

	/**
	 * Takes over what is wished now.
	 * @param ownedNow whether this router owns the service's orders
	 * @param change the next change, empty if none is wished
	 */
	public void update(boolean ownedNow, Optional<StageChange> change) {
		this.owned = ownedNow;
		this.wish = change;
	}

	/**
	 * Does what is due.
	 * @param nowNanos the time
	 * @return the actions to carry out
	 */
	public List<OrderAction> tick(long nowNanos) {
		boolean quiet = this.orderCall == 0 && nowNanos - this.quietUntilNanos >= 0;
		boolean wanted = this.owned && (this.wish.isPresent() || !quiet);
		List<OrderAction> actions = new ArrayList<>(this.lease.tick(wanted, quiet, nowNanos));
		if (this.owned && quiet && this.wish.isPresent() && this.lease.mayIssue(nowNanos)) {
			this.orderCall = nextCall();
			long wishedNanos = nowNanos + this.limits.orderNanos() / 2;
			long lastNanos = this.lease.lastOrderNanos();
			long notAfterNanos = (wishedNanos - lastNanos < 0) ? wishedNanos : lastNanos;
			this.quietUntilNanos = notAfterNanos + 2 * this.limits.orderNanos();
			actions.add(new IssueOrder(this.orderCall, this.wish.get().engine(),
					new EngineOrder(EngineOrder.Kind.ROLE, this.wish.get().role()), this.lease.fencing(),
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
			this.lease.forget(nowNanos);
		}
		if (event instanceof OrderEvent.OrderAccepted) {
			this.quietUntilNanos = nowNanos + this.changeNanos;
		}
		return List.of();
	}

	/**
	 * Tells whether this router holds the lease.
	 * @param nowNanos the time
	 * @return true if its lease cannot have lapsed
	 */
	public boolean held(long nowNanos) {
		return this.lease.held(nowNanos);
	}

}
