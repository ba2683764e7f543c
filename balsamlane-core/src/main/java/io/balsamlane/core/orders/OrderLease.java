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
 * Acquires, renews and releases the lease of one pool or service.
 * <p>
 * The duration of the lease is counted from the time just before its grant or renewal was
 * requested, so the lease expires here before it expires in the store. The pool's key
 * exists only while the lease of its writer is valid, and it is written only while it is
 * absent. Therefore at most one valid lease is attached to the key, and the version of
 * the key, which serves as fencing number, is higher for a later holder.
 * <p>
 * A store that has been restored from a copy may have lost the key and the lease while
 * their holder still issues orders. Other routers therefore acquire the lease only after
 * the time for which any lease of before the restoration may be held.
 */
final class OrderLease {

	/** The holder renews the lease after a quarter of its duration. */
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

	boolean isActive() {
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
			abandon(nowNanos);
		}
		if (!wanted) {
			return releasable ? release(nowNanos) : List.of();
		}
		if (this.call != 0 || nowNanos - this.nextTryNanos < 0) {
			return List.of();
		}
		return switch (this.phase) {
			case IDLE -> List.of(new ReadHolder(startCall(Phase.CHECKING, nowNanos)));
			case READING_BACK -> List.of(new ReadHolder(startCall(Phase.READING_BACK, nowNanos)));
			case HELD -> List.of(new RenewLease(startCall(Phase.HELD, nowNanos), this.lease));
			default -> throw new IllegalStateException("Phase " + this.phase + " permits no new call");
		};
	}

	private long startCall(Phase newPhase, long nowNanos) {
		this.phase = newPhase;
		this.sentNanos = nowNanos;
		this.call = this.calls.getAsLong();
		return this.call;
	}

	/**
	 * Release the lease.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the action that revokes the lease, empty if no lease is held
	 */
	List<OrderAction> release(long nowNanos) {
		long revokedLease = this.lease;
		abandon(nowNanos);
		return (revokedLease != 0) ? List.of(new RevokeLease(revokedLease)) : List.of();
	}

	/**
	 * Abandon the lease without revoking it. Its expiry still bounds the effect of
	 * outstanding orders.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void abandon(long nowNanos) {
		this.phase = Phase.IDLE;
		this.lease = 0;
		this.call = 0;
		scheduleRetry(nowNanos);
	}

	/**
	 * Abandon the lease because the store has been restored from a copy. The lease is not
	 * revoked, because its number may have been given out again.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void storeRestored(long nowNanos) {
		boolean lastHolder = held(nowNanos);
		abandon(nowNanos);
		if (!lastHolder) {
			this.nextTryNanos = nowNanos + this.limits.leaseNanos();
		}
	}

	private void scheduleRetry(long nowNanos) {
		long retryNanos = this.limits.retryNanos();
		this.nextTryNanos = nowNanos + retryNanos + this.random.nextLong(retryNanos);
	}

	List<OrderAction> handle(OrderEvent event, long nowNanos) {
		if (event.call() != this.call) {
			// A lease that is granted too late would only keep the key occupied.
			return (event instanceof OrderEvent.LeaseGranted late) ? List.of(new RevokeLease(late.lease())) : List.of();
		}
		this.call = 0;
		if (this.lease != 0 && nowNanos - this.validUntilNanos >= 0) {
			abandon(nowNanos);
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
			return List.of(new GrantLease(startCall(Phase.GRANTING, nowNanos), leaseMillis));
		}
		abandon(nowNanos);
		return List.of();
	}

	private List<OrderAction> granted(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.LeaseGranted granted) {
			this.validUntilNanos = this.sentNanos + this.limits.usableLeaseNanos();
			this.lease = granted.lease();
			this.holder = this.host + "/" + Long.toHexString(this.random.nextLong());
			return write(nowNanos);
		}
		abandon(nowNanos);
		return List.of();
	}

	private List<OrderAction> write(long nowNanos) {
		return List.of(new WriteHolder(startCall(Phase.WRITING, nowNanos), this.lease, this.holder));
	}

	private List<OrderAction> written(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.HolderWritten written) {
			setHeld(written.version(), nowNanos);
			return List.of();
		}
		if (event instanceof OrderEvent.LeaseNotFound) {
			abandon(nowNanos);
			return List.of();
		}
		// The key may exist because of an earlier write under this lease whose answer was
		// lost.
		this.phase = Phase.READING_BACK;
		this.nextTryNanos = nowNanos;
		return List.of();
	}

	private List<OrderAction> readBack(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.HolderFound found) {
			if (!found.holder().equals(this.holder)) {
				return release(nowNanos);
			}
			setHeld(found.version(), nowNanos);
			return List.of();
		}
		if (event instanceof OrderEvent.HolderAbsent) {
			return write(nowNanos);
		}
		scheduleRetry(nowNanos);
		return List.of();
	}

	private void setHeld(long version, long nowNanos) {
		this.phase = Phase.HELD;
		this.fencing = version;
		this.heldSinceNanos = nowNanos;
		this.nextTryNanos = nowNanos + this.limits.leaseNanos() / RENEWALS_PER_LEASE;
	}

	private List<OrderAction> renewed(OrderEvent event, long nowNanos) {
		if (event instanceof OrderEvent.LeaseRenewed) {
			this.validUntilNanos = this.sentNanos + this.limits.usableLeaseNanos();
			this.nextTryNanos = this.sentNanos + this.limits.leaseNanos() / RENEWALS_PER_LEASE;
		}
		else if (event instanceof OrderEvent.LeaseNotFound) {
			abandon(nowNanos);
		}
		else {
			scheduleRetry(nowNanos);
		}
		return List.of();
	}

	private enum Phase {

		IDLE, CHECKING, GRANTING, WRITING, READING_BACK, HELD

	}

}
