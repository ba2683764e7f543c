package io.balsamlane.router.metrics;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Formats metrics in the Prometheus text exposition format, version 0.0.4.
 */
final class MetricsText {

	private static final double NANOS_PER_SECOND = 1e9;

	private MetricsText() {
	}

	/**
	 * Format labels and escape their values.
	 * @param pairs alternating label names and values
	 * @return the labels in braces, or an empty string if there are none
	 */
	static String labels(String... pairs) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < pairs.length; index += 2) {
			text.append(text.isEmpty() ? '{' : ',').append(pairs[index]).append("=\"");
			text.append(pairs[index + 1].replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n")).append('"');
		}
		return text.isEmpty() ? "" : text.append('}').toString();
	}

	static String format(MetricRegistry registry) {
		Map<String, com.codahale.metrics.Metric> metrics = new TreeMap<>(registry.getMetrics());
		StringBuilder text = new StringBuilder();
		for (Metric metric : Metric.values()) {
			StringBuilder lines = new StringBuilder();
			metrics.forEach((name, value) -> {
				if (name.equals(metric.id()) || name.startsWith(metric.id() + "{")) {
					write(name, value, (key, number) -> lines.append(key).append(' ').append(number).append('\n'));
				}
			});
			if (!lines.isEmpty()) {
				text.append("# HELP ").append(metric.id()).append(' ');
				text.append(metric.help().replace("\\", "\\\\").replace("\n", "\\n"));
				text.append("\n# TYPE ").append(metric.id()).append(' ').append(metric.type()).append('\n');
				text.append(lines);
			}
		}
		return text.toString();
	}

	private static void write(String name, com.codahale.metrics.Metric value, BiConsumer<String, Object> line) {
		if (value instanceof Latency latency) {
			Snapshot snapshot = latency.getSnapshot();
			for (double quantile : new double[] { 0.5, 0.95, 0.99 }) {
				line.accept(name + "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile) / NANOS_PER_SECOND);
			}
			line.accept(name + "_sum", latency.sumNanos() / NANOS_PER_SECOND);
			line.accept(name + "_count", latency.getCount());
		}
		else if (value instanceof Counter counter) {
			line.accept(name, counter.getCount());
		}
		else if (value instanceof Gauge<?> gauge) {
			line.accept(name, gauge.getValue());
		}
	}

}
