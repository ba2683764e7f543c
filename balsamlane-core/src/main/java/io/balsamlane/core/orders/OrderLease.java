package io.balsamlane.core.orders;

import java.util.List;
import java.util.function.LongSupplier;

import io.balsamlane.core.orders.OrderAction.GrantLease;
import io.balsamlane.core.orders.OrderAction.ReadHolder;
import io.balsamlane.core.orders.OrderAction.RenewLease;
import io.balsamlane.core.orders.OrderAction.RevokeLease;
import io.balsamlane.core.orders.OrderAction.WriteHolder;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Acquires, renews and loses the lease of one pool.
 * <p>
 * The lease counts from the moment before its grant or renewal was requested, so it ends
 * here before it ends in the store. The key of the pool exists only while the lease of
 * its writer lives, and is only written while it is absent. So at most one live lease
 * stands behind the key, and a later holder has a higher version as its fencing number.
 */
final class OrderLease {

	/** A holder renews when this part of the lease has passed. */
	private static final int RENEWALS_PER_LEASE = 4;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final String host;

	private final OrderLimits limits;

	private final UniformRandomProvider random;

	private final LongSupplier calls;

	private Phase phase = Phase.IDLE;

	private long call;

	private long sentNanos;

	private long nextTryNanos;

	private long lease;

	private String holder = "";

	private long validUntilNanos;

	private long fencing;

	private long heldSinceNanos;

	OrderLease(String host, OrderLimits limits, UniformRandomProvider random, LongSupplier calls, long nowNanos) {
		this.host = host;
		this.limits = limits;
		this.random = random;
		this.calls = calls;
		this.nextTryNanos = nowNanos;
	}

	boolean held(long nowNanos) {
		return this.phase == Phase.HELD && nowNanos - this.validUntilNanos < 0;
	}

	boolean mayIssue(long nowNanos) {
		return held(nowNanos) && nowNanos - firstOrderNanos() >= 0 && nowNanos - lastOrderNanos() < 0;
	}

	boolean engaged() {
		return this.lease != 0 || this.phase == Phase.GRANTING;
	}

	private long firstOrderNanos() {
		return this.heldSinceNanos + this.limits.orderNanos();
	}

	long lastOrderNanos() {
		return this.validUntilNanos - this.limits.orderNanos();
	}

	long fencing() {
		return this.fencing;
	}

	List<OrderAction> tick(boolean wanted, boolean releasable, long nowNanos) {
		if (this.lease != 0 && nowNanos - this.validUntilNanos >= 0) {
			forget(nowNanos);
		}
		if (!wanted) {
			return releasable ? release(nowNanos) : List.of();
		}
		if (this.call != 0 || nowNanos - this.nextTryNanos < 0) {
			return List.of();
		}
		return switch (this.phase) {
			case IDLE -> List.of(new ReadHolder(next(Phase.CHECKING, nowNanos)));
			case READING_BACK -> List.of(new ReadHolder(next(Phase.READING_BACK, nowNanos)));
			case HELD -> List.of(new RenewLease(next(Phase.HELD, nowNanos), this.lease));
			default -> throw new IllegalStateException("Phase " + this.phase + " has no call");
		};
	}

	private long next(Phase nextPhase, long nowNanos) {
		this.phase = nextPhase;
		this.sentNanos = nowNanos;
		this.call = this.calls.getAsLong();
		return this.call;
	}

	/**
	 * Gives the lease back.
	 * @param nowNanos the time
	 * @return the revocation, empty if there is no lease
	 */
	List<OrderAction> release(long nowNanos) {
		long old = this.lease;
		forget(nowNanos);
		return (old != 0) ? List.of(new RevokeLease(old)) : List.of();
	}

	/**
	 * Drops the lease without revoking it: orders that are under way are bounded by the
	 * time at which it lapses.
	 * @param nowNanos the time
	 */
	void forget(long nowNanos) {
		this.phase = Phase.IDLE;
		this.lease = 0;
		this.call = 0;
		pause(nowNanos);
	}

	private void pause(long nowNanos) {
		long retryNanos = this.limits.retryNanos();
		this.nextTryNanos = nowNanos + retryNanos + this.random.nextLong(retryNanos);
	}

	List<OrderAction> handle(OrderEvent event, long nowNanos) {
		if (event.call() != this.call) {
			// A lease whose grant is answered too late would only keep the key occupied.
			return (event instanceof OrderEvent.LeaseGranted late) ? List.of(new RevokeLease(late.lease())) : List.of();
		}
		this.call = 0;
		if (this.lease != 0 && nowNanos - this.validUntilNanos >= 0) {
			forget(nowNanos);
			return List.of();
		}
		return switch (this.phase) {
			case CHECKING -> checked(event, nowNanos);
			case GRANTING -> granted(event, nowNanos);
			case WRITING -> written(event, nowNanos);
			case READING_BACK -> readBack(event, nowNanos);
			case HELD -> renewed(event, nowNanos);
			default -> List.of();
		};
	}

	private List<OrderAction> checked(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.HolderAbsent) {
			long leaseMillis = this.limits.leaseNanos() / NANOS_PER_MILLI;
			return List.of(new GrantLease(next(Phase.GRANTING, nowNanos), leaseMillis));
		}
		forget(nowNanos);
		return List.of();
	}

	private List<OrderAction> granted(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.LeaseGranted granted) {
			this.validUntilNanos = this.sentNanos + this.limits.reliedOnNanos();
			this.lease = granted.lease();
			this.holder = this.host + "/" + Long.toHexString(this.random.nextLong());
			return write(nowNanos);
		}
		forget(nowNanos);
		return List.of();
	}

	private List<OrderAction> write(long nowNanos) {
		return List.of(new WriteHolder(next(Phase.WRITING, nowNanos), this.lease, this.holder));
	}

	private List<OrderAction> written(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.HolderWritten written) {
			hold(written.version(), nowNanos);
			return List.of();
		}
		if (event instanceof OrderEvent.LeaseGone) {
			forget(nowNanos);
			return List.of();
		}
		// A refusal can be due to an earlier write of this lease whose answer was lost.
		this.phase = Phase.READING_BACK;
		this.nextTryNanos = nowNanos;
		return List.of();
	}

	private List<OrderAction> readBack(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.HolderFound found) {
			if (!found.holder().equals(this.holder)) {
				return release(nowNanos);
			}
			hold(found.version(), nowNanos);
			return List.of();
		}
		if (event instanceof OrderEvent.HolderAbsent) {
			return write(nowNanos);
		}
		pause(nowNanos);
		return List.of();
	}

	private void hold(long version, long nowNanos) {
		this.phase = Phase.HELD;
		this.fencing = version;
		this.heldSinceNanos = nowNanos;
		this.nextTryNanos = nowNanos + this.limits.leaseNanos() / RENEWALS_PER_LEASE;
	}

	private List<OrderAction> renewed(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.LeaseRenewed) {
			this.validUntilNanos = this.sentNanos + this.limits.reliedOnNanos();
			this.nextTryNanos = this.sentNanos + this.limits.leaseNanos() / RENEWALS_PER_LEASE;
		}
		else if (event instanceof OrderEvent.LeaseGone) {
			forget(nowNanos);
		}
		else {
			pause(nowNanos);
		}
		return List.of();
	}

	private enum Phase {

		IDLE, CHECKING, GRANTING, WRITING, READING_BACK, HELD

	}

}
