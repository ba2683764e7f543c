package io.balsamlane.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which backend servers get new work, from three independent signals: the host
 * list, the server's own answer, and repeated failures.
 * <p>
 * Each signal is kept on its own, so a host list that lags and still shows a server as
 * live does not cancel what the server itself said. Not safe for use by several threads.
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
	 * Creates an empty table.
	 * @param failuresBeforePause failures in a row after which a server is paused
	 * @param pauseNanos length of that pause; afterwards one more failure pauses the
	 * server again
	 * @param leavingNanos time for which a server's own leaving answer holds if the host
	 * list never confirms it; should exceed the longest shutdown
	 * @param maxServers bound of the table; the server not used for longest is dropped
	 * @return the table
	 */
	public static ServerAvailability create(int failuresBeforePause, long pauseNanos, long leavingNanos,
			int maxServers) {
		return new ServerAvailability(failuresBeforePause, pauseNanos, leavingNanos, maxServers);
	}

	/**
	 * Records what the host list shows. A server that the list showed as leaving and
	 * shows as live again has been replaced, so its own leaving answer is void.
	 * @param server the server
	 * @param leaving whether the list shows it as leaving
	 */
	public void listed(String server, boolean leaving) {
		if (!leaving && !this.servers.containsKey(server)) {
			return;
		}
		Signals signals = signals(server);
		if (signals.listedLeaving && !leaving) {
			signals.saidLeaving = false;
			signals.failures = 0;
		}
		signals.listedLeaving = leaving;
	}

	/**
	 * Records that the server answered that it is leaving.
	 * @param server the server
	 * @param nowNanos the current time
	 */
	public void saidLeaving(String server, long nowNanos) {
		Signals signals = signals(server);
		signals.saidLeaving = true;
		signals.saidLeavingNanos = nowNanos;
	}

	/**
	 * Records a failure of the server.
	 * @param server the server
	 * @param nowNanos the current time
	 */
	public void failed(String server, long nowNanos) {
		Signals signals = signals(server);
		signals.failures++;
		signals.failedNanos = nowNanos;
	}

	/**
	 * Records that the server's process is gone: it is paused at once, also as a last
	 * resort.
	 * @param server the server
	 * @param nowNanos the current time
	 */
	public void died(String server, long nowNanos) {
		silent(server, nowNanos);
		signals(server).gone = true;
	}

	/**
	 * Records that the server answers nothing, which a frozen server and a slow one have
	 * in common: it is paused at once.
	 * @param server the server
	 * @param nowNanos the current time
	 */
	public void silent(String server, long nowNanos) {
		Signals signals = signals(server);
		signals.failures = Math.max(signals.failures + 1, this.failuresBeforePause);
		signals.failedNanos = nowNanos;
		signals.gone = false;
	}

	/**
	 * Records that the server did its work. Does not cancel a leaving signal, because a
	 * leaving server finishes what it runs.
	 * @param server the server
	 */
	public void succeeded(String server) {
		Signals signals = this.servers.get(server);
		if (signals != null) {
			signals.failures = 0;
		}
	}

	/**
	 * Tells whether a server may get new work.
	 * @param server the server
	 * @param nowNanos the current time
	 * @return true if no signal speaks against it
	 */
	public boolean available(String server, long nowNanos) {
		Signals signals = this.servers.get(server);
		return signals == null || (!leaving(signals, nowNanos) && !paused(signals, nowNanos));
	}

	/**
	 * Tells whether a server may get new work if no other is available: a paused server
	 * may have recovered, one that is leaving or gone has not.
	 * @param server the server
	 * @param nowNanos the current time
	 * @return true if nothing but its failures speaks against it
	 */
	public boolean availableAsLastResort(String server, long nowNanos) {
		Signals signals = this.servers.get(server);
		return signals == null || (!leaving(signals, nowNanos) && !(signals.gone && paused(signals, nowNanos)));
	}

	private boolean leaving(Signals signals, long nowNanos) {
		boolean saidLeaving = signals.saidLeaving && nowNanos - signals.saidLeavingNanos < this.leavingNanos;
		return signals.listedLeaving || saidLeaving;
	}

	private boolean paused(Signals signals, long nowNanos) {
		return signals.failures >= this.failuresBeforePause && nowNanos - signals.failedNanos < this.pauseNanos;
	}

	private Signals signals(String server) {
		return this.servers.computeIfAbsent(server, (name) -> new Signals());
	}

	private static final class Signals {

		private boolean listedLeaving;

		private boolean saidLeaving;

		private long saidLeavingNanos;

		private int failures;

		private long failedNanos;

		private boolean gone;

	}

}
