package io.balsamlane.router.timeline;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import io.balsamlane.core.time.HybridClock;
import io.balsamlane.router.metrics.RingMetric;
import io.balsamlane.schema.Event;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.EventReply;

/**
 * Bounded log of the events of this process, ordered by hybrid logical time. This class
 * is thread-safe.
 * <p>
 * Recording stores one small object in a ring buffer under a lock that is held briefly.
 * Protobuf messages are built only when events are read.
 */
public final class Timeline {

	private static final int DEFAULT_QUERY_LIMIT = 1000;

	private final String host;

	private final LongSupplier epochMillis;

	private final HybridClock clock = HybridClock.create();

	private final Entry[] ring;

	private volatile RingMetric metric;

	private volatile TimelineListener listener = (kind, requestId, detail) -> {
	};

	private int next;

	private long recorded;

	private Timeline(String host, int capacityEvents, LongSupplier epochMillis) {
		this.host = Objects.requireNonNull(host, "host");
		this.epochMillis = Objects.requireNonNull(epochMillis, "epochMillis");
		this.ring = new Entry[capacityEvents];
	}

	/**
	 * Create an empty timeline.
	 * @param host the name of this host
	 * @param capacityEvents the maximum number of events to retain
	 * @param epochMillis supplies the wall-clock time in milliseconds since the epoch
	 * @return the timeline
	 */
	public static Timeline create(String host, int capacityEvents, LongSupplier epochMillis) {
		return new Timeline(host, capacityEvents, epochMillis);
	}

	/**
	 * Set the metric that tracks the size of the ring buffer.
	 * @param metric the metric that receives the size
	 */
	public void setMetric(RingMetric metric) {
		this.metric = metric;
	}

	/**
	 * Set the listener that is notified of each event.
	 * @param listener the listener, which must not block
	 */
	public void setListener(TimelineListener listener) {
		this.listener = listener;
	}

	/**
	 * Record an event.
	 * @param kind the kind of event
	 * @param requestId the request id, empty if none
	 * @param attempt the number of the attempt, 0 if none
	 * @param subject the server, member or pool, empty if none
	 * @param detail free text
	 */
	public void record(EventKind kind, String requestId, int attempt, String subject, String detail) {
		add(kind, requestId, attempt, subject, 0, detail);
	}

	/**
	 * Record an event of a configuration revision.
	 * @param kind the kind of event
	 * @param revision the revision
	 * @param detail free text
	 */
	public void recordRevision(EventKind kind, long revision, String detail) {
		add(kind, "", 0, "", revision, detail);
	}

	private void add(EventKind kind, String requestId, int attempt, String subject, long revision, String detail) {
		long millis = this.epochMillis.getAsLong();
		synchronized (this) {
			this.ring[this.next] = new Entry(this.clock.tick(millis), kind, requestId, attempt, subject, revision,
					detail);
			this.next = (this.next + 1 < this.ring.length) ? this.next + 1 : 0;
			this.recorded++;
			if (this.metric != null && this.recorded <= this.ring.length) {
				this.metric.observe((int) this.recorded);
			}
		}
		this.listener.recorded(kind, requestId, detail);
	}

	/**
	 * Advance the hybrid clock and return its time, to be sent with a message.
	 * @return the hybrid time
	 */
	public synchronized long now() {
		return this.clock.tick(this.epochMillis.getAsLong());
	}

	/**
	 * Merge the time of a received message into the hybrid clock.
	 * @param remote the hybrid time in the message
	 */
	public synchronized void observe(long remote) {
		this.clock.merge(remote, this.epochMillis.getAsLong());
	}

	/**
	 * Return the number of retained events.
	 * @return the number of events
	 */
	public synchronized int size() {
		return (int) Math.min(this.recorded, this.ring.length);
	}

	/**
	 * Find events of this process.
	 * @param query the conditions on the events; an empty field matches every event
	 * @return the newest matching events, oldest first
	 */
	public EventReply find(EventQuery query) {
		Entry[] entries;
		long total;
		synchronized (this) {
			entries = Arrays.copyOf(this.ring, this.ring.length);
			total = this.recorded;
		}
		boolean hostMatches = query.getHost().isEmpty() || query.getHost().equals(this.host);
		List<Event> found = Stream.of(entries)
			.filter((entry) -> entry != null && hostMatches && entry.matches(query))
			.sorted(Comparator.comparingLong(Entry::hybridTime))
			.map((entry) -> entry.toEvent(this.host))
			.toList();
		return EventReply.newBuilder()
			.addAllEvents(newest(found, query))
			.setOverwritten(Math.max(0, total - entries.length))
			.addAnswered(this.host)
			.build();
	}

	/**
	 * Merge the events of several processes.
	 * @param query the query that the processes answered
	 * @param replies the replies of the processes
	 * @return the newest events in causal order, without duplicates
	 */
	public static EventReply merge(EventQuery query, List<EventReply> replies) {
		List<Event> events = replies.stream()
			.flatMap((reply) -> reply.getEventsList().stream())
			.distinct()
			.sorted(Comparator.comparingLong(Event::getHybridTime).thenComparing(Event::getHost))
			.toList();
		List<String> answered = replies.stream()
			.flatMap((reply) -> reply.getAnsweredList().stream())
			.distinct()
			.sorted()
			.toList();
		List<String> missing = new ArrayList<>(
				replies.stream().flatMap((reply) -> reply.getMissingList().stream()).distinct().sorted().toList());
		missing.removeAll(answered);
		return EventReply.newBuilder()
			.addAllEvents(newest(events, query))
			.setOverwritten(replies.stream().mapToLong(EventReply::getOverwritten).sum())
			.addAllAnswered(answered)
			.addAllMissing(missing)
			.build();
	}

	private static List<Event> newest(List<Event> events, EventQuery query) {
		int limit = (query.getLimit() > 0) ? query.getLimit() : DEFAULT_QUERY_LIMIT;
		return events.subList(Math.max(0, events.size() - limit), events.size());
	}

	private record Entry(long hybridTime, EventKind kind, String requestId, int attempt, String subject, long revision,
			String detail) {

		boolean matches(EventQuery query) {
			return (query.getRequestId().isEmpty() || query.getRequestId().equals(this.requestId))
					&& (query.getSubject().isEmpty() || this.subject.contains(query.getSubject()))
					&& (query.getRevision() == 0 || query.getRevision() == this.revision)
					&& query.getFromHybridTime() <= this.hybridTime
					&& (query.getToHybridTime() == 0 || this.hybridTime <= query.getToHybridTime());
		}

		Event toEvent(String host) {
			return Event.newBuilder()
				.setHybridTime(this.hybridTime)
				.setHost(host)
				.setKind(this.kind)
				.setRequestId(this.requestId)
				.setAttempt(this.attempt)
				.setSubject(this.subject)
				.setRevision(this.revision)
				.setDetail(this.detail)
				.build();
		}

	}

}
