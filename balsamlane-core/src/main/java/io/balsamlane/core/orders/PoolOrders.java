package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Issues the orders to the engines of one pool. Holds the pool's lease while this router
 * owns the pool, and reconciles the engines with the target state under that lease.
 * <p>
 * Guarantee for engines that check the fencing number: once an engine has accepted an
 * order of a later holder, including one that only raises the fencing number, no order of
 * an earlier holder changes the engine. The orders of a holder have converged only when
 * every engine has its fencing number.
 * <p>
 * Guarantee for engines that ignore the fencing number: every order of an earlier holder
 * takes effect before the first order of a later one, provided that each order takes
 * effect within twice {@link OrderLimits#orderNanos()} after its issuer last read its
 * clock. The issuer stops one order time before its lease expires, and the successor
 * waits for a second one. A holder that is paused at any other time detects on resumption
 * that its lease has expired and issues nothing. The assumption is violated if a holder
 * is paused for longer between the clock reading and the write, or if an order is delayed
 * for longer in transit or in the engine. The earlier order may then temporarily prevail:
 * the current holder reads every engine again after {@link OrderLimits#verifyNanos()} and
 * repeats its orders until the state matches.
 * <p>
 * Times are in nanoseconds of a monotonic clock. This class is not thread-safe.
 */
public final class PoolOrders implements OrderEventHandler {

	private final OrderLease lease;

	private final EngineReconciler engines;

	private PoolSnapshot snapshot;

	private boolean wasHeld;

	private long lastCall;

	private PoolOrders(String host, OrderLimits limits, PoolSnapshot snapshot, UniformRandomProvider random,
			long nowNanos) {
		this.snapshot = Objects.requireNonNull(snapshot, "situation");
		this.lease = new OrderLease(host, limits, random, this::nextCall, nowNanos);
		this.engines = new EngineReconciler(limits, this::nextCall, nowNanos);
		this.engines.update(snapshot, nowNanos);
	}

	/**
	 * Create the order control of a pool.
	 * @param host name of this router's host
	 * @param limits time limits and budgets
	 * @param snapshot the current knowledge about the pool
	 * @param random source of randomness for retry delays and holder values
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the order control, which does not hold a lease yet
	 */
	public static PoolOrders create(String host, OrderLimits limits, PoolSnapshot snapshot,
			UniformRandomProvider random, long nowNanos) {
		return new PoolOrders(host, limits, snapshot, random, nowNanos);
	}

	private long nextCall() {
		return ++this.lastCall;
	}

	/**
	 * Update the knowledge about the pool.
	 * @param next the new snapshot
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void update(PoolSnapshot next, long nowNanos) {
		this.snapshot = next;
		this.engines.update(next, nowNanos);
	}

	/**
	 * Return the actions that are due. To be called at intervals that are short compared
	 * with the time limits.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the actions to carry out
	 */
	public List<OrderAction> tick(long nowNanos) {
		boolean wanted = this.snapshot.owned();
		List<OrderAction> actions = new ArrayList<>(
				this.lease.tick(wanted, this.engines.isQuiescent(nowNanos), nowNanos));
		observeLease(nowNanos);
		if (wanted && this.lease.mayIssue(nowNanos)) {
			actions.addAll(this.engines.tick(nowNanos));
		}
		return actions;
	}

	// Answers to calls under an earlier lease are ignored.
	@Override
	public List<OrderAction> handle(OrderEvent event, long nowNanos) {
		boolean wasHeldBefore = this.lease.held(nowNanos);
		List<OrderAction> actions = new ArrayList<>(this.lease.handle(event, nowNanos));
		observeLease(nowNanos);
		if (wasHeldBefore && isStale(event)) {
			this.lease.abandon(nowNanos);
			observeLease(nowNanos);
		}
		else if (event instanceof OrderEvent.EngineRead && !(this.snapshot.owned() && this.lease.mayIssue(nowNanos))) {
			actions.addAll(this.engines.handle(new OrderEvent.EngineReadFailed(event.call()), 0, 0, nowNanos));
		}
		else {
			actions.addAll(this.engines.handle(event, this.lease.fencing(), this.lease.lastOrderNanos(), nowNanos));
		}
		return actions;
	}

	private boolean isStale(OrderEvent event) {
		return event instanceof OrderEvent.OrderStale || event instanceof OrderEvent.EngineRead read
				&& this.snapshot.target().checksFencing() && read.state().fencing() > this.lease.fencing();
	}

	private void observeLease(long nowNanos) {
		boolean held = this.lease.held(nowNanos);
		if (held && !this.wasHeld) {
			this.engines.restart(nowNanos);
		}
		this.wasHeld = held;
	}

	/**
	 * Return whether this router holds the lease.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if the lease cannot have expired
	 */
	public boolean held(long nowNanos) {
		return this.lease.held(nowNanos);
	}

	/**
	 * Return the fencing number of the most recent lease.
	 * @return the fencing number, 0 if no lease has been held
	 */
	public long fencing() {
		return this.lease.fencing();
	}

	/**
	 * Return whether all engines were observed in the target state under the current
	 * lease.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if no further orders are needed
	 */
	public boolean isConverged(long nowNanos) {
		return this.lease.mayIssue(nowNanos) && this.engines.isConverged();
	}

	/**
	 * Return whether this router neither holds a lease nor has an outstanding order.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if this instance can be discarded
	 */
	public boolean idle(long nowNanos) {
		return !this.lease.isActive() && this.engines.isQuiescent(nowNanos);
	}

}
