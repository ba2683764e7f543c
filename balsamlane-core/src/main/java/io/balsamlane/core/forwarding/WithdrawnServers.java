package io.balsamlane.core.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Incarnations of servers that the platform's list has shown as leaving, or has no longer
 * shown, during the last minute. If the store of the list is restored from a copy, the
 * list may show them as ready again until their entries are renewed or expire. Not
 * thread-safe.
 */
final class WithdrawnServers {

	/** A copy from which the store is restored is some seconds old. */
	private static final long RETENTION_NANOS = 60_000_000_000L;

	/**
	 * Time for which an entry of the copy is not trusted. Servers renew their entries
	 * every 1.2 s, and an entry expires after three times as long.
	 */
	private static final long DISTRUST_NANOS = 4_000_000_000L;

	private final Map<Incarnation, Long> withdrawalNanos;

	private boolean restored;

	private long restoredNanos;

	/**
	 * Create an empty collection.
	 * @param maxIncarnations maximum number of incarnations; the one that was withdrawn
	 * first is evicted
	 */
	WithdrawnServers(int maxIncarnations) {
		this.withdrawalNanos = new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Incarnation, Long> eldest) {
				return size() > maxIncarnations;
			}

		};
	}

	/**
	 * Record that a server is leaving or no longer listed.
	 * @param server the server
	 * @param nowNanos the monotonic time
	 */
	void add(ListedServer server, long nowNanos) {
		Incarnation incarnation = Incarnation.of(server);
		this.withdrawalNanos.remove(incarnation);
		this.withdrawalNanos.put(incarnation, nowNanos);
	}

	/**
	 * Record that a server has renewed its entry, which counts from now on.
	 * @param server the server
	 */
	void remove(ListedServer server) {
		this.withdrawalNanos.remove(Incarnation.of(server));
	}

	/**
	 * Distrust the entries of withdrawn servers for some time.
	 * @param nowNanos the monotonic time at which the store was restored
	 */
	void storeRestored(long nowNanos) {
		this.restored = true;
		this.restoredNanos = nowNanos;
		this.withdrawalNanos.values().removeIf((atNanos) -> nowNanos - atNanos >= RETENTION_NANOS);
	}

	/**
	 * Return whether an entry of a full list may be from before the server was withdrawn.
	 * @param server the server
	 * @param nowNanos the monotonic time
	 * @return true if the entry must not be used
	 */
	boolean distrusts(ListedServer server, long nowNanos) {
		this.restored = this.restored && nowNanos - this.restoredNanos < DISTRUST_NANOS;
		return this.restored && this.withdrawalNanos.containsKey(Incarnation.of(server));
	}

}
