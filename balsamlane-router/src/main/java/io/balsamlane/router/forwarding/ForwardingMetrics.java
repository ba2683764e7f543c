package io.balsamlane.router.forwarding;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Counters, timers and gauges of forwarding, exposed in the Prometheus text format.
 */
public final class ForwardingMetrics {

	private static final long WINDOW_SECONDS = 60;

	private static final double NANOS_PER_SECOND = 1e9;

	private final MetricRegistry registry = new MetricRegistry();

	private ForwardingMetrics() {
	}

	/**
	 * Create the metrics of one process.
	 * @return the metrics
	 */
	public static ForwardingMetrics create() {
		return new ForwardingMetrics();
	}

	/**
	 * Count an event.
	 * @param name name of the counter
	 * @param label value of the label that distinguishes events of this counter
	 */
	public void count(String name, String label) {
		this.registry.counter(name + "{kind=\"" + label + "\"}").inc();
	}

	/**
	 * Record a duration.
	 * @param name name of the timer
	 * @param nanos the duration in nanoseconds
	 */
	public void time(String name, long nanos) {
		this.registry
			.timer(name, () -> new Timer(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)))
			.update(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Register a gauge, which is read whenever the metrics are scraped.
	 * @param name name of the gauge
	 * @param gauge supplier of the value
	 */
	public void gauge(String name, Gauge<Number> gauge) {
		this.registry.register(name, gauge);
	}

	/**
	 * Format all metrics.
	 * @return the metrics in text format version 0.0.4
	 */
	public String format() {
		StringBuilder text = new StringBuilder();
		new TreeMap<>(this.registry.getCounters()).forEach((name, counter) -> write(text, name, counter));
		for (Map.Entry<String, Timer> timer : this.registry.getTimers().entrySet()) {
			Snapshot snapshot = timer.getValue().getSnapshot();
			for (double quantile : new double[] { 0.5, 0.95, 0.99 }) {
				text.append("balsamlane_").append(timer.getKey()).append("_seconds{quantile=\"").append(quantile);
				text.append("\"} ").append(snapshot.getValue(quantile) / NANOS_PER_SECOND).append('\n');
			}
			text.append("balsamlane_").append(timer.getKey()).append("_seconds_count ");
			text.append(timer.getValue().getCount()).append('\n');
		}
		this.registry.getGauges()
			.forEach((name, gauge) -> text.append("balsamlane_")
				.append(name)
				.append(' ')
				.append(gauge.getValue())
				.append('\n'));
		return text.toString();
	}

	private static void write(StringBuilder text, String name, Counter counter) {
		text.append("balsamlane_").append(name).append(' ').append(counter.getCount()).append('\n');
	}

}
