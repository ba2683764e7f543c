package io.balsamlane.router.metrics;

import java.util.stream.IntStream;

import io.balsamlane.schema.EventKind;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against text output that collectors cannot parse, and against memory use that
 * grows with the number of distinct label values.
 */
class RouterMetricsTests {

	@Test
	void textHasHelpTypeAndEscapedLabels() {
		RouterMetrics metrics = RouterMetrics.create();
		metrics.requestEnded("completed");
		metrics.requestEnded("completed");
		metrics.requestEnded("odd \"kind\" \\ with\nlines");
		metrics.firstTokenSent(250_000_000);
		metrics.tokensSent(20_000_000);
		metrics.grantDecided("granted");
		metrics.retried("attempt");
		metrics.recordDecided("created");
		metrics.storeCalled("get", "found", 1_000_000, true);
		metrics.storeWatched("watch", "unavailable", false);
		RingMetric ring = metrics.ring("timeline", 16);
		ring.observe(9);
		ring.observe(4);
		metrics.members(() -> 3);
		metrics.router(() -> 42, () -> 5, () -> 1);
		Approvals.verify(metrics.text().replaceAll("(?m)^(balsamlane_store_age_seconds) .*", "$1 AGE"));
	}

	@Test
	void numberOfLabelValuesIsBounded() {
		RouterMetrics metrics = RouterMetrics.create();
		IntStream.range(0, 10_000).forEach((index) -> metrics.requestEnded("kind-" + index));
		assertThat(metrics.text().lines().filter((line) -> line.startsWith("balsamlane_requests_total{")))
			.hasSizeLessThanOrEqualTo(65)
			.contains("balsamlane_requests_total{outcome=\"other\"} 9936");
	}

	@Test
	void trackerCountsRequestsFromTimelineEvents() {
		RouterMetrics metrics = RouterMetrics.create();
		RequestTracker tracker = RequestTracker.create(metrics);
		tracker.recorded(EventKind.REQUEST_ACCEPTED, "r1", "model m");
		tracker.recorded(EventKind.FIRST_TOKEN_SENT, "r1", "");
		tracker.recorded(EventKind.REQUEST_FINISHED, "r1", "24 tokens");
		tracker.recorded(EventKind.REQUEST_ACCEPTED, "r2", "model m");
		tracker.recorded(EventKind.REQUEST_REFUSED, "r2", "no-engine");
		tracker.recorded(EventKind.REQUEST_ACCEPTED, "r3", "model m");
		tracker.recorded(EventKind.REQUEST_CANCELLED, "r3", "caller closed its connection after 0 tokens");
		assertThat(metrics.text()).contains("requests_total{outcome=\"completed\"} 1\n")
			.contains("requests_total{outcome=\"no-engine\"} 1\n")
			.contains("requests_total{outcome=\"cancelled\"} 1\n")
			.contains("first_token_seconds_count 1\n")
			.contains("between_tokens_seconds_count 1\n");
	}

}
