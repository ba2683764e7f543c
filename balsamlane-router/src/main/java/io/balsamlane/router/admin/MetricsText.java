package io.balsamlane.router.admin;

import java.util.Map;

import com.codahale.metrics.MetricRegistry;

/**
 * Formats metrics in the text form that collectors scrape.
 */
final class MetricsText {

	private MetricsText() {
	}

	static String format(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		registry.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
		registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
		registry.getMeters().forEach((name, meter) -> line(text, name + "_total", meter.getCount()));
		registry.getTimers().forEach((name, timer) -> {
			line(text, name + "_seconds_count", timer.getCount());
			Map.of("0.5", timer.getSnapshot().getMedian(), "0.99", timer.getSnapshot().get99thPercentile())
				.forEach(
						(quantile, nanos) -> line(text, name + "_seconds{quantile=\"" + quantile + "\"}", nanos / 1e9));
		});
		return text.toString();
	}

	private static void line(StringBuilder text, String name, Object value) {
		String metric = "balsamlane_" + name.replace('-', '_');
		text.append(metric).append(' ').append(value).append('\n');
	}

}
