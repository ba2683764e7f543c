package io.balsamlane.core.forwarding;

import java.util.List;

import io.balsamlane.core.model.ServerName;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against running a non-repeatable request twice, and against reporting a request
 * as not run that may have run.
 */
class RequestAttemptsTests {

	private static RequestAttempts attempts(RequestKind kind, int maxAttempts, boolean budget) {
		RequestAttempts attempts = RequestAttempts.create(kind, maxAttempts, () -> budget);
		attempts.started(ServerName.of("a"));
		return attempts;
	}

	@ParameterizedTest
	@EnumSource(value = RequestKind.class, names = { "NON_IDEMPOTENT", "STREAM" })
	void failsNonRepeatableRequestAfterBrokenAttempt(RequestKind kind) {
		assertThat(attempts(kind, 5, true).ended(new AttemptOutcome.Broken("reset"), true)).isEqualTo(NextStep.FAIL);
	}

	@ParameterizedTest
	@EnumSource(value = RequestKind.class, names = { "IDEMPOTENT", "RESUMABLE_STREAM" })
	void retriesRepeatableRequestUpToMaximumAttempts(RequestKind kind) {
		RequestAttempts attempts = attempts(kind, 2, true);
		assertThat(attempts.ended(new AttemptOutcome.Broken("reset"), true)).isEqualTo(NextStep.TRY_AGAIN);
		attempts.started(ServerName.of("b"));
		assertThat(attempts.ended(new AttemptOutcome.Broken("reset"), true)).isEqualTo(NextStep.FAIL);
	}

	@ParameterizedTest
	@EnumSource(RequestKind.class)
	void unsentAttemptDoesNotConsumeRetryBudget(RequestKind kind) {
		RequestAttempts attempts = attempts(kind, 1, false);
		assertThat(attempts.ended(new AttemptOutcome.NotSent("refused"), true)).isEqualTo(NextStep.TRY_AGAIN);
		attempts.started(ServerName.of("b"));
		assertThat(attempts.ended(new AttemptOutcome.NotRun(503), true)).isEqualTo(NextStep.REFUSE);
	}

	@Test
	void refusesRequestThatHasNotRunWhenBudgetIsExhausted() {
		assertThat(attempts(RequestKind.IDEMPOTENT, 3, false).ended(new AttemptOutcome.NotRun(503), true))
			.isEqualTo(NextStep.REFUSE);
	}

	@ParameterizedTest
	@EnumSource(RequestKind.class)
	void rejectedRequestIsSentToAnotherServerAlthoughItMayRunOnlyOnce(RequestKind kind) {
		RequestAttempts attempts = attempts(kind, 1, true);
		assertThat(attempts.ended(new AttemptOutcome.NotRun(421), true)).isEqualTo(NextStep.TRY_AGAIN);
		attempts.started(ServerName.of("b"));
		assertThat(attempts.ended(new AttemptOutcome.NotRun(503), true)).isEqualTo(NextStep.TRY_AGAIN);
		attempts.started(ServerName.of("c"));
		assertThat(attempts.ended(new AttemptOutcome.NotRun(503), true)).isEqualTo(NextStep.REFUSE);
	}

	@Test
	void retriesServerErrorOfIdempotentCallThenRelaysIt() {
		RequestAttempts attempts = attempts(RequestKind.IDEMPOTENT, 2, true);
		assertThat(attempts.ended(new AttemptOutcome.Answered(500), true)).isEqualTo(NextStep.TRY_AGAIN);
		attempts.started(ServerName.of("b"));
		assertThat(attempts.ended(new AttemptOutcome.Answered(500), true)).isEqualTo(NextStep.RELAY);
	}

	@Test
	void relaysServerErrorOfNonIdempotentCall() {
		assertThat(attempts(RequestKind.NON_IDEMPOTENT, 3, true).ended(new AttemptOutcome.Answered(500), true))
			.isEqualTo(NextStep.RELAY);
	}

	@Test
	void requestWithOpenAttemptIsNotReportedAsNotRun() {
		assertThat(attempts(RequestKind.NON_IDEMPOTENT, 1, true).giveUp()).isEqualTo(NextStep.FAIL);
	}

	@Property(seed = "20261204")
	void refusesOnlyIfNoAttemptMayHaveRun(@ForAll RequestKind kind, @ForAll("outcomes") List<AttemptOutcome> outcomes,
			@ForAll boolean budget, @ForAll boolean timeLeft) {
		RequestAttempts attempts = RequestAttempts.create(kind, 3, () -> budget);
		int mayHaveRun = 0;
		int rejected = 0;
		NextStep step = NextStep.TRY_AGAIN;
		for (int index = 0; index < outcomes.size() && step == NextStep.TRY_AGAIN; index++) {
			AttemptOutcome outcome = outcomes.get(index);
			attempts.started(ServerName.of("server-" + index));
			boolean ran = outcome instanceof AttemptOutcome.Broken || outcome instanceof AttemptOutcome.Answered;
			mayHaveRun += ran ? 1 : 0;
			rejected += (outcome instanceof AttemptOutcome.NotRun) ? 1 : 0;
			step = attempts.ended(outcome, timeLeft);
			if (!kind.repeatable()) {
				assertThat(mayHaveRun).isLessThanOrEqualTo(1);
				assertThat(ran && step == NextStep.TRY_AGAIN).isFalse();
			}
			if (step == NextStep.REFUSE || attempts.giveUp() == NextStep.REFUSE) {
				assertThat(mayHaveRun).isZero();
			}
			assertThat(mayHaveRun).isLessThanOrEqualTo(3);
			assertThat(rejected).isLessThanOrEqualTo(3);
			assertThat(attempts.sent()).isEqualTo(mayHaveRun + rejected);
			if (step == NextStep.TRY_AGAIN && !(outcome instanceof AttemptOutcome.NotSent)) {
				assertThat(budget && timeLeft).isTrue();
			}
		}
	}

	@Provide
	Arbitrary<List<AttemptOutcome>> outcomes() {
		return Arbitraries
			.<AttemptOutcome>of(new AttemptOutcome.NotSent("connection refused"), new AttemptOutcome.NotRun(503),
					new AttemptOutcome.Answered(200), new AttemptOutcome.Answered(500),
					new AttemptOutcome.Broken("reset"))
			.list()
			.ofMaxSize(8);
	}

}
