package io.balsamlane.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Determines which backend servers may get new work, based on three independent signals:
 * the host list, the server's own announcement that it is leaving, and repeated failures.
 * <p>
 * The signals are stored separately, so a lagging host list that still shows a server as
 * live does not override the server's own announcement. This class is not thread-safe.
 */
public final class ServerAvailability {

	private final int failuresBeforePause;

	private final long pauseNanos;

	private final long leavingNanos;

	private final Map<String, Signals> servers;

	private ServerAvailability(int failuresBeforePause, long pauseNanos, long leavingNanos, int maxServers) {
		this.failuresBeforePause = failuresBeforePause;
		this.pauseNanos = pauseNanos;
		this.leavingNanos = leavingNanos;
		this.servers = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Signals> eldest) {
				return size() > maxServers;
			}
		};
	}

	/**
	 * Create an empty table.
	 * @param failuresBeforePause consecutive failures after which a server is paused
	 * @param pauseNanos length of the pause, in nanoseconds; after it, a single failure
	 * pauses the server again
	 * @param leavingNanos time for which a server's leaving announcement remains valid if
	 * the host list never confirms it, in nanoseconds; should exceed the longest shutdown
	 * @param maxServers maximum size of the table; the least recently used server is
	 * evicted
	 * @return the table
	 */
	public static ServerAvailability create(int failuresBeforePause, long pauseNanos, long leavingNanos,
			int maxServers) {
		return new ServerAvailability(failuresBeforePause, pauseNanos, leavingNanos, maxServers);
	}

	/**
	 * Record the state of a server in the host list. A server that changes from leaving
	 * back to live has been replaced, which invalidates its leaving announcement and
	 * resets its failures.
	 * @param server name of the server
	 * @param leaving whether the list shows the server as leaving
	 */
	public void listed(String server, boolean leaving) {
		if (!leaving && !this.servers.containsKey(server)) {
			return;
		}
		Signals signals = signals(server);
		if (signals.listedLeaving && !leaving) {
			signals.announcedLeaving = false;
			signals.consecutiveFailures = 0;
		}
		signals.listedLeaving = leaving;
	}

	/**
	 * Record that a server answered that it is leaving.
	 * @param server name of the server
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void announcedLeaving(String server, long nowNanos) {
		Signals signals = signals(server);
		signals.announcedLeaving = true;
		signals.announcedLeavingNanos = nowNanos;
	}

	/**
	 * Record a failure of a server.
	 * @param server name of the server
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void failed(String server, long nowNanos) {
		Signals signals = signals(server);
		signals.consecutiveFailures++;
		signals.failedNanos = nowNanos;
	}

	/**
	 * Record that a server's process has terminated. The server is paused immediately and
	 * is not available as a last resort until the pause ends.
	 * @param server name of the server
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void died(String server, long nowNanos) {
		unresponsive(server, nowNanos);
		signals(server).terminated = true;
	}

	/**
	 * Record that a server does not respond, which may mean that it is frozen or merely
	 * slow. The server is paused immediately but remains available as a last resort.
	 * @param server name of the server
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void unresponsive(String server, long nowNanos) {
		Signals signals = signals(server);
		signals.consecutiveFailures = Math.max(signals.consecutiveFailures + 1, this.failuresBeforePause);
		signals.failedNanos = nowNanos;
		signals.terminated = false;
	}

	/**
	 * Record that a server completed its work, which resets its failures. A leaving
	 * signal remains in force, because a leaving server completes its running requests.
	 * @param server name of the server
	 */
	public void succeeded(String server) {
		Signals signals = this.servers.get(server);
		if (signals != null) {
			signals.consecutiveFailures = 0;
		}
	}

	/**
	 * Return whether a server may get new work.
	 * @param server name of the server
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if the server is neither leaving nor paused
	 */
	public boolean available(String server, long nowNanos) {
		Signals signals = this.servers.get(server);
		return signals == null || (!isLeaving(signals, nowNanos) && !isPaused(signals, nowNanos));
	}

	/**
	 * Return whether a server may get new work if no other server is available. A paused
	 * server may have recovered; a server that is leaving or whose process has terminated
	 * cannot have.
	 * @param server name of the server
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return {@code true} if the server is neither leaving nor paused after the
	 * termination of its process
	 */
	public boolean availableAsLastResort(String server, long nowNanos) {
		Signals signals = this.servers.get(server);
		return signals == null
				|| (!isLeaving(signals, nowNanos) && !(signals.terminated && isPaused(signals, nowNanos)));
	}

	private boolean isLeaving(Signals signals, long nowNanos) {
		boolean announcedLeaving = signals.announcedLeaving
				&& nowNanos - signals.announcedLeavingNanos < this.leavingNanos;
		return signals.listedLeaving || announcedLeaving;
	}

	private boolean isPaused(Signals signals, long nowNanos) {
		return signals.consecutiveFailures >= this.failuresBeforePause
				&& nowNanos - signals.failedNanos < this.pauseNanos;
	}

	private Signals signals(String server) {
		return this.servers.computeIfAbsent(server, (name) -> new Signals());
	}

	private static final class Signals {

		private boolean listedLeaving;

		private boolean announcedLeaving;

		private long announcedLeavingNanos;

		private int consecutiveFailures;

		private long failedNanos;

		private boolean terminated;

	}

}
