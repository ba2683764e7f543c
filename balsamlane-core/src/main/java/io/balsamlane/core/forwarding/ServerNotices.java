package io.balsamlane.core.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What backend servers have announced about themselves in their responses: that they are
 * leaving, or that they accept no requests of this router for some time. An announcement
 * belongs to one incarnation of a server. It outlives the server's entry in the
 * platform's list, which may expire and return while the list's store is unavailable. Not
 * thread-safe.
 */
final class ServerNotices {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<Incarnation, Notice> notices;

	/**
	 * Create an empty collection.
	 * @param maxIncarnations maximum number of incarnations; the least recently used one
	 * is evicted
	 */
	ServerNotices(int maxIncarnations) {
		this.notices = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<Incarnation, Notice> eldest) {
				return size() > maxIncarnations;
			}

		};
	}

	/**
	 * Record that a server is leaving.
	 * @param server the server
	 * @return true if this was not known
	 */
	boolean leaving(ListedServer server) {
		Notice notice = notice(server);
		boolean added = !notice.leaving;
		notice.leaving = true;
		return added;
	}

	/**
	 * Record that a server accepts no requests for some time. A later announcement
	 * replaces an earlier one only if it ends later, because responses may overtake each
	 * other.
	 * @param server the server
	 * @param millis the time, in milliseconds
	 * @param nowNanos the monotonic time
	 * @return true if the server accepted requests until now
	 */
	boolean holdBack(ListedServer server, long millis, long nowNanos) {
		Notice notice = notice(server);
		boolean held = notice.holds(nowNanos);
		long untilNanos = nowNanos + millis * NANOS_PER_MILLI;
		if (!held || untilNanos - notice.heldUntilNanos > 0) {
			notice.held = true;
			notice.heldUntilNanos = untilNanos;
		}
		return !held;
	}

	boolean isLeaving(ListedServer server) {
		Notice notice = find(server);
		return notice != null && notice.leaving;
	}

	/**
	 * Return the time for which a server still accepts no requests.
	 * @param server the server
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, rounded up, 0 if it accepts requests
	 */
	long heldBackMillis(ListedServer server, long nowNanos) {
		Notice notice = find(server);
		return (notice != null && notice.holds(nowNanos))
				? TimeUnit.NANOSECONDS.toMillis(notice.heldUntilNanos - nowNanos) + 1 : 0;
	}

	// Each request asks for all servers of its service; most routers have no notices.
	private Notice find(ListedServer server) {
		return this.notices.isEmpty() ? null : this.notices.get(Incarnation.of(server));
	}

	private Notice notice(ListedServer server) {
		return this.notices.computeIfAbsent(Incarnation.of(server), (key) -> new Notice());
	}

	private static final class Notice {

		private boolean leaving;

		private boolean held;

		private long heldUntilNanos;

		boolean holds(long nowNanos) {
			this.held = this.held && nowNanos - this.heldUntilNanos < 0;
			return this.held;
		}

	}

}
