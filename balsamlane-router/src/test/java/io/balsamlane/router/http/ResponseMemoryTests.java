package io.balsamlane.router.http;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against servers that send bodies without end and exhaust the memory of the
 * process, and against ordinary responses that are rejected because of them.
 */
class ResponseMemoryTests {

	private static final int MAX_BYTES = 1 << 20;

	private final ResponseMemory memory = ResponseMemory.ofSize(MAX_BYTES);

	@Test
	void endlessResponsesStayWithinLimitAndOrdinaryOnesAreAdmitted() {
		int endless = 40;
		int[] held = new int[endless];
		for (int round = 0; round < 100; round++) {
			IntStream.range(0, endless)
				.filter((index) -> this.memory.tryReserve(held[index], 8192))
				.forEach((index) -> held[index] += 8192);
		}
		assertThat(this.memory.usedBytes()).isLessThanOrEqualTo(MAX_BYTES);
		assertThat(this.memory.tryReserve(0, 4096)).isTrue();
		assertThat(this.memory.tryReserve(4096, 4096)).isTrue();
	}

	@Test
	void endedResponseReleasesItsMemory() {
		assertThat(this.memory.tryReserve(0, MAX_BYTES)).isTrue();
		assertThat(this.memory.tryReserve(0, ResponseMemory.GUARANTEED_BYTES + 1)).isFalse();
		this.memory.release(MAX_BYTES);
		assertThat(this.memory.tryReserve(0, ResponseMemory.GUARANTEED_BYTES + 1)).isTrue();
	}

}
