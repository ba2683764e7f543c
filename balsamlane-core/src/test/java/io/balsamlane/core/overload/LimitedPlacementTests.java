package io.balsamlane.core.overload;

import java.util.List;
import java.util.stream.IntStream;

import io.balsamlane.core.forwarding.EngineChoice;
import io.balsamlane.core.forwarding.EngineLimits;
import io.balsamlane.core.forwarding.EngineRates;
import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rejections while engines are idle, and against requests that use the
 * capacity which is kept for more urgent or larger ones.
 */
class LimitedPlacementTests {

	private static final EngineLimits CAPACITY = new EngineLimits(48, 28_000, 0, 0, 0);

	private static final PlacementLimits LIMITS = new PlacementLimits(0.95, 400, 0.5);

	private final SharedLoadPlacement engines = SharedLoadPlacement.create(
			new EngineRates(33.3, 2.3, 10, 3, 42, 60, 25), "region", "place",
			RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private final List<ListedServer> listed = IntStream.range(0, 4)
		.mapToObj(
				(number) -> new ListedServer(
						new BackendServer(ServerName.of("engine-" + number), BackendServer.Kind.ENGINE, "model",
								Place.of("place"), "region", Endpoint.of("127.0.0.1", 8080), false),
						EngineStage.DECODE, 64, 1))
		.toList();

	private EngineChoice choose(long tokens, double expectedMillis, long onTimeMillis) {
		return LimitedPlacement.of(this.engines)
			.choose(this.listed, CAPACITY, LIMITS, tokens, 3000, onTimeMillis,
					(usable) -> new EngineChoice.Colocated(List.copyOf(usable).get(0), expectedMillis), 0);
	}

	private void load(int engineCount, long pendingTokens, long kvTokens) {
		this.listed.subList(0, engineCount).forEach((engine) -> this.engines.assign(engine, pendingTokens, kvTokens));
	}

	@Test
	void idleEngineIsUsedEvenIfTheFirstEventIsExpectedTooLate() {
		assertThat(choose(3000, 5000, 800)).isInstanceOf(EngineChoice.Colocated.class);
	}

	@Test
	void engineWithQueueIsNotUsedIfTheFirstEventIsExpectedTooLate() {
		load(4, 3000, 3000);
		assertThat(choose(3000, 700, 800)).isInstanceOf(EngineChoice.Colocated.class);
		assertThat(choose(3000, 900, 800)).isInstanceOf(EngineChoice.Full.class);
	}

	@Test
	void requestIsNotPlacedIfTooFewEnginesAreWithinTheLimits() {
		load(2, 10_000, 3000);
		assertThat(choose(3000, 100, 800)).isInstanceOf(EngineChoice.Colocated.class);
		this.engines.assign(this.listed.get(2), 10_000, 3000);
		assertThat(choose(3000, 100, 800)).isInstanceOf(EngineChoice.Full.class);
	}

	@Test
	void enginesWithoutRoomForTheRequestAreNotOffered() {
		load(4, 0, 20_000);
		assertThat(choose(7000, 100, 800)).isInstanceOf(EngineChoice.Full.class);
		assertThat(choose(3000, 100, 800)).isInstanceOf(EngineChoice.Colocated.class);
	}

	@Test
	void smallRequestLeavesRoomForALargeOne() {
		load(4, 0, 20_000);
		// 6,600 tokens are free within the limits, 1,400 of them only for large requests.
		assertThat(choose(6500, 100, 800)).isInstanceOf(EngineChoice.Colocated.class);
		assertThat(choose(5500, 100, 800)).isInstanceOf(EngineChoice.Full.class);
		assertThat(choose(5000, 100, 800)).isInstanceOf(EngineChoice.Colocated.class);
	}

}
