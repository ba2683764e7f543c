package io.balsamlane.router.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Collects the metrics that the components of the daemon report. Thread-safe.
 */
public final class RouterMetrics {

	// Label values are literals in the code; the bound limits memory use should a caller
	// pass arbitrary values by mistake.
	private static final int MAX_LABEL_SETS = 64;

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
	 * Create the metrics of one process.
	 * @return the metrics
	 */
	public static RouterMetrics create() {
		return new RouterMetrics();
	}

	/**
	 * Count a request that ended.
	 * @param outcome {@code completed}, {@code cancelled} or the kind of the error
	 */
	public void requestEnded(String outcome) {
		count(Metric.REQUESTS_TOTAL, "outcome", outcome);
	}

	/**
	 * Record the time to the first token of an answer.
	 * @param nanos the time since the request arrived, in nanoseconds
	 */
	public void firstTokenSent(long nanos) {
		this.firstToken.update(nanos);
	}

	/**
	 * Record the mean time between the tokens of a finished answer.
	 * @param nanos the mean time, in nanoseconds
	 */
	public void tokensSent(long nanos) {
		this.betweenTokens.update(nanos);
	}

	/**
	 * Count a decision on a model request.
	 * @param outcome {@code granted} or the kind of the refusal
	 */
	public void grantDecided(String outcome) {
		count(Metric.GRANTS_TOTAL, "outcome", outcome);
	}

	/**
	 * Count work beyond the first attempt of a request.
	 * @param kind {@code attempt}, {@code repeat} or {@code hedge}
	 */
	public void retried(String kind) {
		count(Metric.RETRIES_TOTAL, "kind", kind);
	}

	/**
	 * Count a request to record a non-repeatable call.
	 * @param result the result of the request
	 */
	public void recordDecided(String result) {
		count(Metric.RECORDS_TOTAL, "result", result);
	}

	/**
	 * Record a read or write of the platform store.
	 * @param operation the operation
	 * @param outcome the outcome
	 * @param nanos the duration, in nanoseconds
	 * @param answered whether the store answered
	 */
	public void storeCalled(String operation, String outcome, long nanos, boolean answered) {
		storeWatched(operation, outcome, answered);
		this.storeCall.update(nanos);
	}

	/**
	 * Record a watch of the platform store. Its duration is not measured, because it
	 * depends on when the watched value changes.
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
	 * Return the time since the platform store last answered.
	 * @return the time in nanoseconds; counted from the start if the store never answered
	 */
	public long storeAgeNanos() {
		return System.nanoTime() - this.storeAnsweredNanos.get();
	}

	/**
	 * Register the gauges of a ring buffer.
	 * @param name the name of the ring buffer
	 * @param capacity the capacity of the ring buffer
	 * @return the metric to report sizes to
	 */
	public RingMetric ring(String name, int capacity) {
		RingMetric ring = RingMetric.create();
		gauge(Metric.RING_EVENTS, ring::size, "ring", name);
		gauge(Metric.RING_EVENTS_MAX, ring::max, "ring", name);
		gauge(Metric.RING_CAPACITY_EVENTS, () -> capacity, "ring", name);
		return ring;
	}

	/**
	 * Register the gauge of the number of members.
	 * @param members supplies the number of members
	 */
	public void members(LongSupplier members) {
		gauge(Metric.MEMBERS, members);
	}

	/**
	 * Register the gauge of the number of pools whose orders this router issues.
	 * @param leases supplies the number of pools
	 */
	public void orders(LongSupplier leases) {
		gauge(Metric.ORDER_LEASES_HELD, leases);
	}

	/**
	 * Register the gauges of the state of this router.
	 * @param revision supplies the revision of the configuration in force
	 * @param inProgress supplies the number of requests in progress
	 * @param ready supplies 1 if requests are accepted, 0 if not
	 */
	public void router(LongSupplier revision, LongSupplier inProgress, LongSupplier ready) {
		gauge(Metric.CONFIGURATION_REVISION, revision);
		gauge(Metric.REQUESTS_IN_PROGRESS, inProgress);
		gauge(Metric.READY, ready);
	}

	/**
	 * Register the gauges of the schedulers of this router.
	 * @param liveGrants supplies the number of grants that the schedulers account for
	 * @param waiting supplies the number of queued requests
	 * @param fallbacks supplies the number of grants decided without a scheduler
	 * @param crossRegionBytes supplies the number of bytes sent between regions
	 */
	public void scheduling(LongSupplier liveGrants, LongSupplier waiting, LongSupplier fallbacks,
			LongSupplier crossRegionBytes) {
		gauge(Metric.SCHEDULER_LIVE_GRANTS, liveGrants);
		gauge(Metric.SCHEDULER_WAITING_REQUESTS, waiting);
		gauge(Metric.SCHEDULER_FALLBACKS_TOTAL, fallbacks);
		gauge(Metric.CROSS_REGION_BYTES_TOTAL, crossRegionBytes);
	}

	/**
	 * Format all metrics in the Prometheus text exposition format.
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
			if (known.size() >= MAX_LABEL_SETS) {
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
