package io.balsamlane.core.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more retries in any window than the budget allows.
 */
class WindowedRetryBudgetTests {

	private static final long WINDOW_NANOS = 1000;

	@Test
	void budgetIsReplenishedAfterWindow() {
		WindowedRetryBudget budget = WindowedRetryBudget.create(0, () -> 1, WINDOW_NANOS);
		assertThat(budget.tryAcquire(0)).isTrue();
		assertThat(budget.tryAcquire(999)).isFalse();
		assertThat(budget.tryAcquire(1000)).isTrue();
	}

	@Property(seed = "20261204")
	void retriesStayWithinBudgetInAnyWindow(@ForAll @Size(max = 300) List<@IntRange(max = 60) Integer> pauses) {
		WindowedRetryBudget budget = WindowedRetryBudget.create(0.2, () -> 3, WINDOW_NANOS);
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> repeats = new ArrayDeque<>();
		long now = 0;
		for (int pause : pauses) {
			now += pause;
			long start = now - WINDOW_NANOS;
			requests.removeIf((time) -> time <= start);
			repeats.removeIf((time) -> time <= start);
			if (pause % 2 == 0) {
				budget.recordRequest(now);
				requests.add(now);
			}
			else if (budget.tryAcquire(now)) {
				repeats.add(now);
				assertThat(repeats.size()).isLessThanOrEqualTo((int) (0.2 * requests.size() + 3));
			}
		}
	}

	@Test
	void fixedAllowanceShrinksWhenMoreRoutersShareIt() {
		double[] fixed = { 2 };
		WindowedRetryBudget budget = WindowedRetryBudget.create(0, () -> fixed[0], WINDOW_NANOS);
		assertThat(budget.tryAcquire(0)).isTrue();
		fixed[0] = 1;
		assertThat(budget.tryAcquire(1)).isFalse();
	}

}
