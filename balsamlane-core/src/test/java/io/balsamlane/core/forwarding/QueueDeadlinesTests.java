package io.balsamlane.core.forwarding;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against waits that end too late for a stream to be on time, or after its caller
 * has aborted it.
 */
class QueueDeadlinesTests {

	private static final long MILLI = 1_000_000;

	private static final ForwardingRoute ROUTE = new ForwardingRoute("route", "host", "/", RequestKind.STREAM, 14_000,
			900, 1, List.of(new ForwardingRoute.WeightedService("service", 1)), 1, 300);

	@Test
	void reservesHalfOfTargetForStart() {
		QueueDeadlines deadlines = QueueDeadlines.forNewStream(ROUTE, 100 * MILLI, 300 * MILLI, 14_000);
		assertThat(deadlines.onTimeUntilNanos()).isEqualTo((100 + 450) * MILLI);
	}

	@Test
	void newStreamIsRefusedBeforeCallerAbortsIt() {
		QueueDeadlines deadlines = QueueDeadlines.forNewStream(ROUTE, 100 * MILLI, 300 * MILLI, 14_000);
		assertThat(deadlines.refuseAtNanos()).isEqualTo((100 + 3600 - 800) * MILLI);
		assertThat(deadlines.expired(300 * MILLI)).isFalse();
		assertThat(deadlines.expired(2900 * MILLI)).isTrue();
	}

	@Test
	void streamThatCannotEndBeforeDeadlineDoesNotWait() {
		assertThat(QueueDeadlines.forNewStream(ROUTE, 0, 10 * MILLI, 3900).expired(10 * MILLI)).isTrue();
		assertThat(QueueDeadlines.forInterruptedStream(ROUTE, 10 * MILLI, 3900).expired(10 * MILLI)).isFalse();
	}

	@Test
	void deadlinesOfInterruptedStreamStartAtLastEvent() {
		QueueDeadlines deadlines = QueueDeadlines.forInterruptedStream(ROUTE, 5000 * MILLI, 9000);
		assertThat(deadlines.onTimeUntilNanos()).isEqualTo(5450 * MILLI);
		assertThat(deadlines.refuseAtNanos()).isEqualTo((5000 + 3600 - 800) * MILLI);
	}

}
