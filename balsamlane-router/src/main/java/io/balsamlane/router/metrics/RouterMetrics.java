package io.balsamlane.router.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * What the parts of the daemon report about their work. Safe for use by several threads.
 */
public final class RouterMetrics {

	// Outcomes are literals of the code; the bound only protects memory from a mistake.
	private static final int MAX_LABELS = 64;

	private static final double NANOS_PER_SECOND = 1e9;

	private final MetricRegistry registry = new MetricRegistry();

	private final Map<Metric, Map<String, String>> labels = new ConcurrentHashMap<>();

	private final Latency firstToken;

	private final Latency betweenTokens;

	private final Latency storeCall;

	private final AtomicLong storeAnsweredNanos = new AtomicLong(System.nanoTime());

	private RouterMetrics() {
		this.firstToken = this.registry.register(Metric.FIRST_TOKEN_SECONDS.id(), Latency.create());
		this.betweenTokens = this.registry.register(Metric.BETWEEN_TOKENS_SECONDS.id(), Latency.create());
		this.storeCall = this.registry.register(Metric.STORE_CALL_SECONDS.id(), Latency.create());
		this.registry.register(Metric.STORE_AGE_SECONDS.id(), (Gauge<Double>) () -> storeAgeNanos() / NANOS_PER_SECOND);
	}

	/**
	 * Creates the metrics of one process.
	 * @return the metrics
	 */
	public static RouterMetrics create() {
		return new RouterMetrics();
	}

	/**
	 * Counts a request that ended.
	 * @param outcome {@code completed}, {@code cancelled} or the kind of the error
	 */
	public void requestEnded(String outcome) {
		count(Metric.REQUESTS_TOTAL, "outcome", outcome);
	}

	/**
	 * Reports the first token of an answer.
	 * @param nanos time since the request arrived, in nanoseconds
	 */
	public void firstTokenSent(long nanos) {
		this.firstToken.update(nanos);
	}

	/**
	 * Reports the pace of a finished answer.
	 * @param nanos mean time between its tokens, in nanoseconds
	 */
	public void tokensSent(long nanos) {
		this.betweenTokens.update(nanos);
	}

	/**
	 * Counts a decision on a model request.
	 * @param outcome {@code granted} or the kind of the refusal
	 */
	public void grantDecided(String outcome) {
		count(Metric.GRANTS_TOTAL, "outcome", outcome);
	}

	/**
	 * Counts work beyond the first attempt.
	 * @param kind {@code attempt}, {@code repeat} or {@code hedge}
	 */
	public void retried(String kind) {
		count(Metric.RETRIES_TOTAL, "kind", kind);
	}

	/**
	 * Counts a request to record a non-repeatable call.
	 * @param result the result
	 */
	public void recordDecided(String result) {
		count(Metric.RECORDS_TOTAL, "result", result);
	}

	/**
	 * Reports a read or write of the platform store.
	 * @param operation the operation
	 * @param outcome the outcome
	 * @param nanos its time in nanoseconds
	 * @param answered whether the store answered
	 */
	public void storeCalled(String operation, String outcome, long nanos, boolean answered) {
		storeWatched(operation, outcome, answered);
		this.storeCall.update(nanos);
	}

	/**
	 * Reports a watch of the platform store, whose time depends on changes.
	 * @param operation the operation
	 * @param outcome the outcome
	 * @param answered whether the store answered
	 */
	public void storeWatched(String operation, String outcome, boolean answered) {
		count(Metric.STORE_CALLS_TOTAL, "operation", operation, "outcome", outcome);
		if (answered) {
			this.storeAnsweredNanos.set(System.nanoTime());
		}
	}

	/**
	 * Returns the time since the platform store last answered.
	 * @return nanoseconds, since the start if it never did
	 */
	public long storeAgeNanos() {
		return System.nanoTime() - this.storeAnsweredNanos.get();
	}

	/**
	 * Adds a ring buffer.
	 * @param name name of the ring buffer
	 * @param capacity its capacity
	 * @return receives its sizes
	 */
	public RingMetric ring(String name, int capacity) {
		RingMetric ring = RingMetric.create();
		gauge(Metric.RING_EVENTS, ring::size, "ring", name);
		gauge(Metric.RING_EVENTS_MAX, ring::max, "ring", name);
		gauge(Metric.RING_CAPACITY_EVENTS, () -> capacity, "ring", name);
		return ring;
	}

	/**
	 * Adds the number of members.
	 * @param members reads it
	 */
	public void members(LongSupplier members) {
		gauge(Metric.MEMBERS, members);
	}

	/**
	 * Adds the state of this router.
	 * @param revision reads the revision in force
	 * @param inProgress reads the requests in progress
	 * @param ready reads 1 if requests are accepted, 0 if not
	 */
	public void router(LongSupplier revision, LongSupplier inProgress, LongSupplier ready) {
		gauge(Metric.CONFIGURATION_REVISION, revision);
		gauge(Metric.REQUESTS_IN_PROGRESS, inProgress);
		gauge(Metric.READY, ready);
	}

	/**
	 * Adds the state of the schedulers.
	 * @param liveGrants reads the grants that they keep account of
	 * @param waiting reads the requests that wait
	 * @param fallbacks reads the grants decided without a scheduler
	 * @param crossRegionBytes reads the bytes sent between regions
	 */
	public void scheduling(LongSupplier liveGrants, LongSupplier waiting, LongSupplier fallbacks,
			LongSupplier crossRegionBytes) {
		gauge(Metric.SCHEDULER_LIVE_GRANTS, liveGrants);
		gauge(Metric.SCHEDULER_WAITING_REQUESTS, waiting);
		gauge(Metric.SCHEDULER_FALLBACKS_TOTAL, fallbacks);
		gauge(Metric.CROSS_REGION_BYTES_TOTAL, crossRegionBytes);
	}

	/**
	 * Formats all metrics in the text form that collectors scrape.
	 * @return the text
	 */
	public String text() {
		return MetricsText.format(this.registry);
	}

	private void gauge(Metric metric, LongSupplier value, String... labelPairs) {
		this.registry.register(metric.id() + MetricsText.labels(labelPairs), (Gauge<Long>) value::getAsLong);
	}

	private void count(Metric metric, String... labelPairs) {
		Map<String, String> known = this.labels.computeIfAbsent(metric, (added) -> new ConcurrentHashMap<>());
		String key = String.join("\n", labelPairs);
		String name = known.get(key);
		if (name == null) {
			if (known.size() >= MAX_LABELS) {
				for (int index = 1; index < labelPairs.length; index += 2) {
					labelPairs[index] = "other";
				}
			}
			name = metric.id() + MetricsText.labels(labelPairs);
			known.putIfAbsent(String.join("\n", labelPairs), name);
		}
		this.registry.counter(name).inc();
	}

}
