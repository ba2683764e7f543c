package io.balsamlane.bench;

import java.util.List;
import java.util.stream.IntStream;

import io.balsamlane.bench.load.CallResult.Targets;
import io.balsamlane.bench.load.ModelCall;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a bound that is too low, which would let a poor scheduler reach its
 * goal, or that ignores the capacity.
 */
class GoodputBoundTests {

	private static final DeploymentPlan PLAN = DeploymentPlan.trentside();

	/** All prefill engines of the plan together. */
	private static final double TOKENS_PER_SECOND = 3 * 45_000;

	private static ModelCall call(int index, double dueSeconds, int ownTokens) {
		return new ModelCall(index, (long) (dueSeconds * 1e9), "m", "t", "", ownTokens, ownTokens, 64, "", -1);
	}

	private static List<ModelCall> evenly(int count, double perSecond, int ownTokens) {
		return IntStream.range(0, count).mapToObj((i) -> call(i, i / perSecond, ownTokens)).toList();
	}

	@Test
	void everythingFitsBelowTheCapacity() {
		double perSecond = 0.9 * PLAN.capacityPerSecond();
		assertThat(GoodputBound.of(PLAN, evenly(200, perSecond, 3400), Targets.ofDesign(), 0)).isEqualTo(200);
	}

	@Test
	void overloadIsLimitedByPrefill() {
		// Equal prompts of 13,500 tokens take 0.1 s each; 20 s and the slack of the
		// deadline allow 210 of 400.
		List<ModelCall> calls = evenly(400, 20, (int) (TOKENS_PER_SECOND / 10));
		assertThat(GoodputBound.of(PLAN, calls, Targets.ofDesign(), 0)).isBetween(205L, 212L);
	}

	@Test
	void overloadOfShortPromptsIsLimitedByDecode() {
		List<ModelCall> calls = evenly(1000, 100, 10);
		long decoded = (long) (PLAN.decodeEngines() * PLAN.decodePerSecond() * (10 + 1.1));
		assertThat(GoodputBound.of(PLAN, calls, Targets.ofDesign(), 0)).isBetween(decoded - 2, decoded + 1);
	}

	@Test
	void longPromptIsGivenUpForSeveralShortOnes() {
		List<ModelCall> calls = List.of(call(0, 0, (int) TOKENS_PER_SECOND), call(1, 0.01, 27_000),
				call(2, 0.02, 27_000), call(3, 0.03, 27_000));
		assertThat(GoodputBound.of(PLAN, calls, Targets.ofDesign(), 1)).isEqualTo(3);
	}

	@Test
	void capacityOfBothPlansIsBalanced() {
		assertThat(List.of(DeploymentPlan.kitakami(), DeploymentPlan.trentside())).allSatisfy((plan) -> {
			assertThat(plan.decodeSlots()).isBetween(17.0, 23.0);
			assertThat(plan.capacityPerSecond()).isGreaterThan(0.85 * plan.prefillEngines() * plan.prefillPerSecond())
				.isGreaterThan(0.85 * plan.decodeEngines() * plan.decodePerSecond());
		});
	}

}
