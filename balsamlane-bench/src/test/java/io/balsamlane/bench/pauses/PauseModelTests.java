package io.balsamlane.bench.pauses;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays the load for which pauses are heeded. Guards against requests that reach a server
 * within its pause, and against requests without an outcome.
 */
class PauseModelTests {

	private static final long SEED = 7;

	private static PauseResult run(int routers, int servers, boolean heed) {
		return PauseModel.run(new PausePlan(routers, servers, 6, 43, 294, 1508, 0.5, 2000, 20, heed), SEED);
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 95 })
	void noRequestReachesServerWithinItsPause(int routers) {
		int servers = (routers == 7) ? 3 : 6;
		PauseResult heeded = run(routers, servers, true);
		PauseResult ignored = run(routers, servers, false);
		assertThat(ignored.arrivalsInPause()).isPositive();
		assertThat(heeded.arrivalsInPause()).isZero();
		assertThat(heeded.repeats()).isLessThan(ignored.repeats());
		assertThat(heeded.inTarget()).isGreaterThanOrEqualTo(ignored.inTarget());
		assertThat(heeded.inTarget() + heeded.late() + heeded.refused()).isEqualTo(heeded.requests());
		assertThat(ignored.inTarget() + ignored.late() + ignored.refused()).isEqualTo(ignored.requests());
	}

}
