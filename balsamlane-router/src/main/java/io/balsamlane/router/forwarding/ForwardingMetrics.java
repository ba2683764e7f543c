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
 * Counters and times of forwarding, in the text form that collectors scrape.
 */
public final class ForwardingMetrics {

	private static final long WINDOW_SECONDS = 60;

	private static final double NANOS_PER_SECOND = 1e9;

	private final MetricRegistry registry = new MetricRegistry();

	private ForwardingMetrics() {
	}

	/**
	 * Creates the metrics of one process.
	 * @return the metrics
	 */
	public static ForwardingMetrics create() {
		return new ForwardingMetrics();
	}

	/**
	 * Counts an event.
	 * @param name name of the counter
	 * @param label the value that tells events of this name apart
	 */
	public void count(String name, String label) {
		this.registry.counter(name + "{kind=\"" + label + "\"}").inc();
	}

	/**
	 * Adds a time.
	 * @param name name of the distribution
	 * @param nanos the time in nanoseconds
	 */
	public void time(String name, long nanos) {
		this.registry
			.timer(name, () -> new Timer(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)))
			.update(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Registers a value that is read when metrics are.
	 * @param name name of the gauge
	 * @param gauge the value
	 */
	public void gauge(String name, Gauge<Number> gauge) {
		this.registry.register(name, gauge);
	}

	/**
	 * Formats all metrics.
	 * @return the text form 0.0.4
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
