package io.balsamlane.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.balsamlane.core.model.HostName;

/**
 * Remembers routers that did not answer in time, so that not every request waits for
 * them. One question at a time checks whether such a router answers again. Not
 * thread-safe.
 */
public final class SilentRouters {

	private static final long CHECK_INTERVAL_NANOS = 500_000_000L;

	/** Time of the next question to each silent router. */
	private final Map<HostName, Long> nextCheckNanos = new HashMap<>();

	private SilentRouters() {
	}

	/**
	 * Create an empty set of silent routers.
	 * @return the set
	 */
	public static SilentRouters create() {
		return new SilentRouters();
	}

	/**
	 * Return whether a router should be asked. If it is silent, it is not asked again
	 * before the check interval has passed.
	 * @param host the router
	 * @param nowNanos the monotonic time
	 * @return false if the router is silent
	 */
	public boolean mayAsk(HostName host, long nowNanos) {
		Long next = this.nextCheckNanos.get(host);
		if (next == null) {
			return true;
		}
		if (nowNanos < next) {
			return false;
		}
		this.nextCheckNanos.put(host, nowNanos + CHECK_INTERVAL_NANOS);
		return true;
	}

	/**
	 * Record that a router did not answer in time.
	 * @param host the router
	 * @param nowNanos the monotonic time
	 */
	public void recordSilence(HostName host, long nowNanos) {
		this.nextCheckNanos.put(host, nowNanos + CHECK_INTERVAL_NANOS);
	}

	/**
	 * Record an answer of a router.
	 * @param host the router
	 */
	public void recordAnswer(HostName host) {
		this.nextCheckNanos.remove(host);
	}

	/**
	 * Remove routers that are no longer members.
	 * @param members the members
	 */
	public void retain(Set<HostName> members) {
		this.nextCheckNanos.keySet().retainAll(members);
	}

}
