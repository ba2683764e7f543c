package io.balsamlane.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;

import io.balsamlane.core.forwarding.CustomerQuota;

/**
 * Compares the number of routers that this router sees alive with the number that it saw
 * recently. Routers that disappeared may be alive in another part of a partitioned fleet
 * and have an owner there, so each part grants a share of the rate only. Not thread-safe.
 */
public final class FleetSize {

	/** Longer than the partitions that the platform announces, which last up to 12 s. */
	private static final long MEMORY_NANOS = 15_000_000_000L;

	/** A starting router is settled when it has found no other router for this time. */
	private static final long QUIET_NANOS = 1_000_000_000L;

	/** A starting router is settled after this time in any case. */
	private static final long START_NANOS = 3_000_000_000L;

	private final int assumedAtStart;

	private final long startNanos;

	/** Earlier sizes with the last time at which each was seen, largest first. */
	private final Deque<Seen> earlier = new ArrayDeque<>();

	private int current = 1;

	private long grownNanos;

	private Seen reported;

	private FleetSize(int assumedAtStart, long startNanos) {
		this.assumedAtStart = assumedAtStart;
		this.startNanos = startNanos;
		this.grownNanos = startNanos;
		this.reported = new Seen(0, startNanos);
	}

	/**
	 * Create the size of a fleet of which only this router is known.
	 * @param assumedAtStart number of routers to assume until the members are known; 1
	 * for a router that has no peers
	 * @param nowNanos the monotonic time
	 * @return the size
	 */
	public static FleetSize create(int assumedAtStart, long nowNanos) {
		return new FleetSize(assumedAtStart, nowNanos);
	}

	/**
	 * Set the number of routers that are alive.
	 * @param members number of routers, including this one
	 * @param nowNanos the monotonic time
	 */
	public void update(int members, long nowNanos) {
		int alive = Math.max(1, members);
		if (alive > this.current) {
			this.grownNanos = nowNanos;
		}
		if (alive != this.current) {
			while (!this.earlier.isEmpty() && this.earlier.peekLast().members <= this.current) {
				this.earlier.removeLast();
			}
			this.earlier.addLast(new Seen(this.current, nowNanos));
			this.current = alive;
		}
	}

	/**
	 * Record the size that another router has seen itself.
	 * @param members number of routers, 0 if that router has just started
	 * @param nowNanos the monotonic time
	 */
	public void recordReport(int members, long nowNanos) {
		if (members >= this.reported.members || expired(this.reported, nowNanos)) {
			this.reported = new Seen(members, nowNanos);
		}
	}

	/**
	 * Return the number of routers that are alive.
	 * @return the number, at least 1
	 */
	public int current() {
		return this.current;
	}

	/**
	 * Return the largest size that this router has recently seen itself, to be reported
	 * to others.
	 * @param nowNanos the monotonic time
	 * @return the number of routers, 0 if this router has just started
	 */
	public int seen(long nowNanos) {
		return settled(nowNanos) ? largest(nowNanos) : 0;
	}

	/**
	 * Return the largest recent size of the fleet.
	 * @param nowNanos the monotonic time
	 * @return the number of routers
	 */
	int reference(long nowNanos) {
		int known = largest(nowNanos);
		if (!expired(this.reported, nowNanos) && this.reported.members > 0) {
			return Math.max(known, this.reported.members);
		}
		return settled(nowNanos) ? known : Math.max(known, this.assumedAtStart);
	}

	/**
	 * Return the share of a quota's rate that the routers in view may use together.
	 * @param quota the quota
	 * @param tolerance the tolerance of all quotas
	 * @param nowNanos the monotonic time
	 * @return the share, above 0 and at most 1
	 */
	public double share(CustomerQuota quota, QuotaTolerance tolerance, long nowNanos) {
		int reference = reference(nowNanos);
		double share = (double) this.current / reference;
		return (this.current * 2 > reference) ? Math.min(1, share + tolerance.majorityShare(quota)) : share;
	}

	private boolean settled(long nowNanos) {
		return this.assumedAtStart <= 1 || nowNanos - this.startNanos >= START_NANOS
				|| nowNanos - Math.max(this.startNanos, this.grownNanos) >= QUIET_NANOS;
	}

	private int largest(long nowNanos) {
		while (!this.earlier.isEmpty() && expired(this.earlier.peekFirst(), nowNanos)) {
			this.earlier.removeFirst();
		}
		return this.earlier.isEmpty() ? this.current : Math.max(this.current, this.earlier.peekFirst().members);
	}

	private static boolean expired(Seen seen, long nowNanos) {
		return nowNanos - seen.lastNanos >= MEMORY_NANOS;
	}

	private record Seen(int members, long lastNanos) {
	}

}
