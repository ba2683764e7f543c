package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Orders to the engines of one pool: holds the pool's lease while this router owns the
 * pool, and brings the engines to the target state under it.
 * <p>
 * Guarantee for engines that check the fencing number: after an engine has accepted an
 * order, or the raising of the number, of a later holder, no order of an earlier holder
 * changes it. A holder has finished only when every engine carries its number.
 * <p>
 * Guarantee for engines that ignore the number: every order of an earlier holder takes
 * effect before the first order of a later one, if each order takes effect within twice
 * {@link OrderLimits#orderNanos()} of the moment at which its issuer last looked at its
 * clock. The first order time is what the issuer leaves of its lease, the second is what
 * the successor waits. A holder that is paused at any other moment sees the lapse of its
 * lease when it goes on and issues nothing. If the assumption breaks, because a holder is
 * paused longer between that look and the write, or an order is delayed longer on its way
 * or in the engine, then the earlier order may win for a while: the present holder reads
 * every engine again after {@link OrderLimits#verifyNanos()} and repeats its orders until
 * the state matches.
 * <p>
 * Times are in nanoseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class PoolOrders implements OrderEventHandler {

	private final OrderLease lease;

	private final EngineReconciler engines;

	private PoolSituation situation;

	private boolean wasHeld;

	private long lastCall;

	private PoolOrders(String host, OrderLimits limits, PoolSituation situation, UniformRandomProvider random,
			long nowNanos) {
		this.situation = Objects.requireNonNull(situation, "situation");
		this.lease = new OrderLease(host, limits, random, this::nextCall, nowNanos);
		this.engines = new EngineReconciler(limits, this::nextCall, nowNanos);
		this.engines.update(situation, nowNanos);
	}

	/**
	 * Creates the orders of a pool.
	 * @param host name of this router's host
	 * @param limits time limits and budgets
	 * @param situation what is known about the pool
	 * @param random source of pauses and holder values
	 * @param nowNanos the time
	 * @return the orders, without a lease
	 */
	public static PoolOrders create(String host, OrderLimits limits, PoolSituation situation,
			UniformRandomProvider random, long nowNanos) {
		return new PoolOrders(host, limits, situation, random, nowNanos);
	}

	private long nextCall() {
		return ++this.lastCall;
	}

	/**
	 * Takes over what is known about the pool now.
	 * @param next the situation
	 * @param nowNanos the time
	 */
	public void update(PoolSituation next, long nowNanos) {
		this.situation = next;
		this.engines.update(next, nowNanos);
	}

	/**
	 * Does what is due. Call it often compared with the times of the limits.
	 * @param nowNanos the time
	 * @return the actions to carry out
	 */
	public List<OrderAction> tick(long nowNanos) {
		boolean wanted = this.situation.owned();
		List<OrderAction> actions = new ArrayList<>(this.lease.tick(wanted, this.engines.settled(nowNanos), nowNanos));
		observeLease(nowNanos);
		if (wanted && this.lease.mayIssue(nowNanos)) {
			actions.addAll(this.engines.tick(nowNanos));
		}
		return actions;
	}

	// Answers that belong to an earlier lease are ignored.
	@Override
	public List<OrderAction> handle(OrderEvent event, long nowNanos) {
		boolean current = this.lease.held(nowNanos);
		List<OrderAction> actions = new ArrayList<>(this.lease.handle(event, nowNanos));
		observeLease(nowNanos);
		if (current && isStale(event)) {
			this.lease.forget(nowNanos);
			observeLease(nowNanos);
		}
		else if (event instanceof OrderEvent.EngineRead && !(this.situation.owned() && this.lease.mayIssue(nowNanos))) {
			actions.addAll(this.engines.handle(new OrderEvent.EngineUnreadable(event.call()), 0, 0, nowNanos));
		}
		else {
			actions.addAll(this.engines.handle(event, this.lease.fencing(), this.lease.lastOrderNanos(), nowNanos));
		}
		return actions;
	}

	private boolean isStale(OrderEvent event) {
		return event instanceof OrderEvent.OrderStale || event instanceof OrderEvent.EngineRead read
				&& this.situation.target().checksFencing() && read.state().fencing() > this.lease.fencing();
	}

	private void observeLease(long nowNanos) {
		boolean held = this.lease.held(nowNanos);
		if (held && !this.wasHeld) {
			this.engines.restart(nowNanos);
		}
		this.wasHeld = held;
	}

	/**
	 * Tells whether this router holds the lease.
	 * @param nowNanos the time
	 * @return true if its lease cannot have lapsed
	 */
	public boolean held(long nowNanos) {
		return this.lease.held(nowNanos);
	}

	/**
	 * Returns the fencing number of the last lease.
	 * @return the number, 0 if there was no lease
	 */
	public long fencing() {
		return this.lease.fencing();
	}

	/**
	 * Tells whether all engines were seen in the target state under the present lease.
	 * @param nowNanos the time
	 * @return true if nothing is left to order
	 */
	public boolean finished(long nowNanos) {
		return this.lease.mayIssue(nowNanos) && this.engines.finished();
	}

	/**
	 * Tells whether this router neither holds a lease nor has an order under way.
	 * @param nowNanos the time
	 * @return true if the orders of this pool can be dropped
	 */
	public boolean idle(long nowNanos) {
		return !this.lease.engaged() && this.engines.settled(nowNanos);
	}

}
