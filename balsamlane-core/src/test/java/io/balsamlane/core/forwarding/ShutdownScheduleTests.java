package io.balsamlane.core.forwarding;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are accepted although the process ends before they can be
 * answered.
 */
class ShutdownScheduleTests {

	private static final long START_NANOS = Long.MAX_VALUE - 5_000_000_000L;

	private static ForwardingRoute route(long timeoutMillis, long targetMillis) {
		return new ForwardingRoute("route", "a.example", "/path/", RequestKind.NON_IDEMPOTENT, timeoutMillis,
				targetMillis, 1, List.of(new ForwardingRoute.WeightedService("service", 1)), 1, 0);
	}

	private static long at(long millis) {
		return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@ParameterizedTest
	@CsvSource({
			// Until the load balancer has noticed, callers have no other router.
			"2599, 14000, 900, true", "2599, 14000, 0, true",
			// A stream that would last longer than the process.
			"2601, 14000, 900, false",
			// A short call is served for most of the grace period, but not at its end.
			"2601, 2000, 486, true", "4600, 2000, 486, true", "5200, 2000, 486, false", "7000, 2000, 221, false",
			"7100, 2000, 100, false", "9000, 2000, 1, false",
			// Without a target only the time limit is known.
			"2601, 14000, 0, false", "2601, 3000, 0, true" })
	void acceptsRequestsThatCanEndInTime(long atMillis, long timeoutMillis, long targetMillis, boolean accepted) {
		ShutdownSchedule schedule = ShutdownSchedule.starting(START_NANOS, 2600, 7300);
		assertThat(schedule.accepts(route(timeoutMillis, targetMillis), at(atMillis))).isEqualTo(accepted);
	}

	@Test
	void requestsEndBeforeConnectionsClose() {
		ShutdownSchedule schedule = ShutdownSchedule.starting(START_NANOS, 2600, 7300);
		assertThat(schedule.remainingMillis(at(0))).isEqualTo(7100);
		assertThat(schedule.remainingMillis(at(7000))).isEqualTo(100);
		assertThat(schedule.remainingMillis(at(8000))).isZero();
	}

	@Test
	void noticeIsNotLongerThanShutdown() {
		ShutdownSchedule schedule = ShutdownSchedule.starting(START_NANOS, 2600, 1);
		assertThat(schedule.accepts(route(2000, 486), at(0))).isFalse();
	}

}
