package io.balsamlane.router.timeline;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;

import io.balsamlane.core.time.HybridClock;
import io.balsamlane.schema.Event;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.EventReply;

/**
 * Bounded record of what this process did, ordered by hybrid logical time. Safe for use
 * by several threads.
 */
public final class Timeline {

	private static final int DEFAULT_LIMIT = 1000;

	private final String host;

	private final int capacityEvents;

	private final LongSupplier epochMillis;

	private final HybridClock clock = HybridClock.create();

	private final Deque<Event> events = new ArrayDeque<>();

	private long overwritten;

	private Timeline(String host, int capacityEvents, LongSupplier epochMillis) {
		this.host = host;
		this.capacityEvents = capacityEvents;
		this.epochMillis = epochMillis;
	}

	/**
	 * Creates an empty time line.
	 * @param host name of this host
	 * @param capacityEvents most events kept
	 * @param epochMillis the wall clock, in milliseconds since 1970
	 * @return the time line
	 */
	public static Timeline create(String host, int capacityEvents, LongSupplier epochMillis) {
		return new Timeline(host, capacityEvents, epochMillis);
	}

	/**
	 * Records an event.
	 * @param kind what happened
	 * @param requestId the request, empty if none
	 * @param attempt number of the attempt, 0 if none
	 * @param subject the server, member or pool, empty if none
	 * @param detail free text
	 */
	public synchronized void record(EventKind kind, String requestId, int attempt, String subject, String detail) {
		add(Event.newBuilder()
			.setKind(kind)
			.setRequestId(requestId)
			.setAttempt(attempt)
			.setSubject(subject)
			.setDetail(detail));
	}

	/**
	 * Records that a configuration revision did something.
	 * @param kind what happened
	 * @param revision the revision
	 * @param detail free text
	 */
	public synchronized void recordRevision(EventKind kind, long revision, String detail) {
		add(Event.newBuilder().setKind(kind).setRevision(revision).setDetail(detail));
	}

	private void add(Event.Builder event) {
		if (this.events.size() == this.capacityEvents) {
			this.events.remove();
			this.overwritten++;
		}
		this.events.add(event.setHost(this.host).setHybridTime(this.clock.tick(this.epochMillis.getAsLong())).build());
	}

	/**
	 * Returns the time to send with a message.
	 * @return the hybrid time
	 */
	public synchronized long now() {
		return this.clock.tick(this.epochMillis.getAsLong());
	}

	/**
	 * Takes over the time of a received message.
	 * @param remote hybrid time in the message
	 */
	public synchronized void observe(long remote) {
		this.clock.merge(remote, this.epochMillis.getAsLong());
	}

	/**
	 * Finds events.
	 * @param query the conditions; empty fields match everything
	 * @return the newest matching events, oldest first
	 */
	public synchronized EventReply find(EventQuery query) {
		int limit = (query.getLimit() > 0) ? query.getLimit() : DEFAULT_LIMIT;
		List<Event> found = this.events.stream().filter((event) -> matches(query, event)).toList();
		return EventReply.newBuilder()
			.addAllEvents(found.stream()
				.skip(Math.max(0, found.size() - limit))
				.sorted(Comparator.comparingLong(Event::getHybridTime))
				.toList())
			.setOverwritten(this.overwritten)
			.build();
	}

	private static boolean matches(EventQuery query, Event event) {
		return (query.getRequestId().isEmpty() || query.getRequestId().equals(event.getRequestId()))
				&& (query.getSubject().isEmpty() || query.getSubject().equals(event.getSubject()))
				&& (query.getRevision() == 0 || query.getRevision() == event.getRevision())
				&& query.getFromHybridTime() <= event.getHybridTime()
				&& (query.getToHybridTime() == 0 || event.getHybridTime() <= query.getToHybridTime());
	}

}
