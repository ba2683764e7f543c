package io.balsamlane.router.forwarding;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.model.ServerName;

/**
 * Requests whose connections were lost while a server ran them, until it is known whether
 * the server has terminated. A lost connection alone is common and harmless.
 */
final class LostConnections {

	private static final int MAX_SERVERS = 64;

	/**
	 * Maximum age of a lost connection when the termination of its server is detected:
	 * the server list shows it after three missed heartbeats and some propagation delay.
	 */
	private static final long MAX_AGE_NANOS = 8_000_000_000L;

	private final Map<ServerName, Map<Long, LostRequest>> requests = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<ServerName, Map<Long, LostRequest>> eldest) {
			return size() > MAX_SERVERS;
		}

	};

	void add(LostRequest lost) {
		this.requests.computeIfAbsent(lost.server().name(), (key) -> new HashMap<>())
			.put(lost.traits().fingerprint(), lost);
	}

	/**
	 * Remove the requests of a server that has terminated.
	 * @param name the server
	 * @param nowNanos the current monotonic time
	 * @return the requests whose connections were lost recently
	 */
	List<LostRequest> remove(ServerName name, long nowNanos) {
		Map<Long, LostRequest> removed = this.requests.remove(name);
		return (removed != null)
				? removed.values().stream().filter((lost) -> nowNanos - lost.lostNanos() < MAX_AGE_NANOS).toList()
				: List.of();
	}

	/**
	 * Request whose connection was lost. Times are on the monotonic clock.
	 *
	 * @param server the server
	 * @param traits properties of the request
	 * @param lastEventId id of the last event that the caller received, 0 if none
	 * @param withoutOutput true if the server had sent no or hardly any output
	 * @param sentNanos time at which the request was sent
	 * @param lostNanos time at which the connection was lost
	 */
	record LostRequest(ListedServer server, RequestTraits traits, long lastEventId, boolean withoutOutput,
			long sentNanos, long lostNanos) {

		/**
		 * Return a name that is unique for each life of a server.
		 * @return the name
		 */
		String incarnation() {
			return this.server.name() + "/" + this.server.startedMillis();
		}

	}

}
