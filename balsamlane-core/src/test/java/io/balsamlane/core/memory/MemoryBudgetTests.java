package io.balsamlane.core.memory;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MemoryBudget}: guards against memory that is reserved beyond the
 * budget or not given back, and against the wrong request yielding.
 */
class MemoryBudgetTests {

	private static final long MAX_BYTES = 16 << 20;

	private static final long BODY_BYTES = 4 << 20;

	private final MemoryBudget budget = MemoryBudget.ofSize(MAX_BYTES);

	private final List<String> yielded = new ArrayList<>();

	private MemoryBudget.Account arriving(String name) {
		return this.budget.openArriving(name, BODY_BYTES, () -> this.yielded.add(name));
	}

	@Test
	void newestOfLeastAdvancedYields() {
		MemoryBudget.Account advanced = arriving("advanced");
		assertThat(advanced.tryReserve(BODY_BYTES)).isTrue();
		MemoryBudget.Account older = arriving("older");
		assertThat(older.tryReserve(BODY_BYTES / 3)).isTrue();
		MemoryBudget.Account newer = arriving("newer");
		assertThat(newer.tryReserve(BODY_BYTES / 3)).isTrue();
		MemoryBudget.Account running = this.budget.open();
		assertThat(running.tryReserve(MAX_BYTES * 3 / 4 - BODY_BYTES - BODY_BYTES / 3)).isTrue();
		assertThat(this.yielded).containsExactly("newer");
		assertThat(newer.tryReserve(1)).isFalse();
		assertThat(this.budget.usedBytes()).isEqualTo(MAX_BYTES * 3 / 4);
	}

	@Test
	void leastAdvancedIsRefusedItself() {
		MemoryBudget.Account first = arriving("first");
		assertThat(first.tryReserve(BODY_BYTES)).isTrue();
		MemoryBudget.Account second = arriving("second");
		assertThat(second.tryReserve(BODY_BYTES)).isTrue();
		MemoryBudget.Account third = arriving("third");
		assertThat(third.tryReserve(BODY_BYTES - 1)).isTrue();
		assertThat(arriving("fourth").tryReserve(BODY_BYTES / 2)).isFalse();
		assertThat(this.yielded).isEmpty();
	}

	@Test
	void settledDataDoesNotYield() {
		MemoryBudget.Account passedOn = arriving("passed on");
		assertThat(passedOn.tryReserve(MAX_BYTES * 3 / 4)).isTrue();
		passedOn.settle();
		assertThat(arriving("next").tryReserve(BODY_BYTES)).isFalse();
		assertThat(this.budget.open().tryReserve(BODY_BYTES)).isFalse();
		assertThat(this.yielded).isEmpty();
	}

	@Test
	void smallDataHasRoomBesideLargeData() {
		assertThat(arriving("large").tryReserve(MAX_BYTES * 3 / 4)).isTrue();
		for (long used = MAX_BYTES * 3 / 4; used < MAX_BYTES; used += MemoryBudget.SMALL_BYTES) {
			assertThat(arriving("small").tryReserve(MemoryBudget.SMALL_BYTES)).isTrue();
		}
		assertThat(this.yielded).isEmpty();
		assertThat(arriving("one more").tryReserve(1)).isTrue();
		assertThat(this.yielded).containsExactly("large");
	}

	@Test
	void sourceLeavesRoomForOthers() {
		for (int number = 0; number < 2; number++) {
			assertThat(arriving("one address").tryReserve(BODY_BYTES)).isTrue();
		}
		assertThat(arriving("one address").tryReserve(BODY_BYTES)).isFalse();
		assertThat(arriving("another address").tryReserve(BODY_BYTES)).isTrue();
		assertThat(this.yielded).isEmpty();
	}

	@Test
	void closedAccountGivesEverythingBackOnce() {
		MemoryBudget.Account account = arriving("a");
		assertThat(account.tryReserve(1000)).isTrue();
		account.release(400);
		account.close();
		account.close();
		account.release(100);
		assertThat(this.budget.usedBytes()).isZero();
		assertThat(account.tryReserve(1)).isFalse();
	}

}
