package io.balsamlane.core.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against engines that are assigned work beyond their capacity, and against
 * prefill on engines where it delays running streams.
 */
class SharedLoadPlacementTests {

	private static final long SECOND = 1_000_000_000L;

	private static final EngineRates RATES = new EngineRates(33.3, 2.3, 10, 3, 42, 60, 25);

	private static final EngineLimits LIMITS = new EngineLimits(64, 33_770, 18_432, 550_000, 500);

	private final SharedLoadPlacement placement = SharedLoadPlacement.create(RATES, "here", "here",
			RandomSource.XO_RO_SHI_RO_128_PP.create(7));

	private EngineChoice choose(List<ListedServer> engines, long nowNanos) {
		return this.placement.choose(engines, LIMITS, ForwardingFixture.request(3000, 840), Set.of(), true, 0.95,
				14_000, nowNanos);
	}

	@Test
	void idleDecodeEngineRunsPrefillItself() {
		EngineChoice choice = choose(
				List.of(ForwardingFixture.decode("d", "here"), ForwardingFixture.prefill("p", "there")), 0);
		assertThat(choice).isInstanceOf(EngineChoice.Colocated.class);
	}

	@Test
	void prefillRunsOnPrefillEngineWhenDecodeEngineIsBusy() {
		ListedServer decode = ForwardingFixture.decode("d", "here");
		this.placement.assign(decode, 0, 3500);
		this.placement.assign(decode, 0, 3500);
		EngineChoice choice = choose(List.of(decode, ForwardingFixture.prefill("p", "here")), 0);
		assertThat(choice).isInstanceOf(EngineChoice.Disaggregated.class);
	}

	@Test
	void engineAtCapacityAccordingToReportsIsNotSelected() {
		ListedServer decode = ForwardingFixture.decode("d", "here");
		this.placement.reportedWork()
			.applyReport(HostName.of("other"), WorkScope.OWN,
					Map.of(ServerName.of("d"), new EngineWork(0, 9, LIMITS.kvTokens() - 1000)), true, 0);
		assertThat(choose(List.of(decode), SECOND)).isEqualTo(new EngineChoice.Full(1));
		assertThat(choose(List.of(decode), 3 * SECOND)).isInstanceOf(EngineChoice.Colocated.class);
	}

	@Test
	void marginOnEnginesOfOtherRegionsIsLeftToTheirRouters() {
		ListedServer near = ForwardingFixture.decode("near", "here");
		ListedServer far = ForwardingFixture.decode("far", "there");
		long held = (long) (LIMITS.kvTokens() * 0.95) - ForwardingFixture.request(3000, 840).kvTokens();
		this.placement.assign(near, 0, held);
		this.placement.assign(far, 0, held);
		EngineChoice choice = choose(List.of(near, far), 0);
		assertThat(choice).isInstanceOfSatisfying(EngineChoice.Colocated.class,
				(colocated) -> assertThat(colocated.decode()).isEqualTo(near));
		assertThat(choose(List.of(far), 0)).isInstanceOf(EngineChoice.Full.class);
	}

	@Test
	void engineThatCrashedReceivesOneRequestUntilItHasAnswered() {
		ListedServer crashed = ForwardingFixture.decode("crashed", "here");
		ListedServer busy = ForwardingFixture.decode("busy", "here");
		ListedServer prefill = ForwardingFixture.prefill("p", "here");
		List<ListedServer> engines = List.of(crashed, busy, prefill);
		this.placement.assign(busy, 0, LIMITS.kvTokens());
		this.placement.recordFailure(crashed.name(), 0);
		assertThat(choose(engines, 2 * SECOND)).isInstanceOfSatisfying(EngineChoice.Colocated.class,
				(colocated) -> assertThat(colocated.decode()).isEqualTo(crashed));
		SharedLoadPlacement.Assignment trial = this.placement.assign(crashed, 3000, 3500);
		assertThat(choose(engines, 2 * SECOND)).isEqualTo(new EngineChoice.Full(1));
		trial.completePrefill();
		this.placement.recordSuccess(crashed.name());
		assertThat(choose(engines, 2 * SECOND)).isInstanceOf(EngineChoice.Disaggregated.class);
	}

	@Test
	void prefillEngineThatCrashedReceivesOneRequestUntilItHasAnswered() {
		ListedServer crashed = ForwardingFixture.prefill("crashed", "here");
		ListedServer other = ForwardingFixture.prefill("other", "here");
		ListedServer decode = ForwardingFixture.decode("d", "here");
		this.placement.assign(decode, 0, 3500);
		this.placement.assign(decode, 0, 3500);
		this.placement.assign(other, 30_000, 30_000);
		this.placement.recordFailure(crashed.name(), 0);
		List<ListedServer> engines = List.of(decode, crashed, other);
		assertThat(choose(engines, 2 * SECOND)).isInstanceOfSatisfying(EngineChoice.Disaggregated.class,
				(choice) -> assertThat(choice.prefill()).isEqualTo(crashed));
		this.placement.assign(crashed, 3000, 3000);
		assertThat(choose(engines, 2 * SECOND)).satisfiesAnyOf(
				(choice) -> assertThat(choice).isInstanceOf(EngineChoice.Colocated.class),
				(choice) -> assertThat(((EngineChoice.Disaggregated) choice).prefill()).isEqualTo(other));
	}

	@Test
	void endedAssignmentLeavesNoWork() {
		SharedLoadPlacement.Assignment assignment = this.placement.assign(ForwardingFixture.decode("d", "here"), 3000,
				3500);
		assignment.completePrefill();
		assignment.end();
		assignment.end();
		assertThat(this.placement.ownWork()).isEmpty();
		assertThat(this.placement.work(ServerName.of("d"), 0)).isEqualTo(EngineWork.NONE);
	}

	@Test
	void failedEngineIsAvoidedWhileOthersAreAvailable() {
		ListedServer broken = ForwardingFixture.decode("broken", "here");
		ListedServer healthy = ForwardingFixture.decode("sound", "there");
		this.placement.recordFailure(broken.name(), 0);
		assertThat(choose(List.of(broken, healthy), 1)).isInstanceOfSatisfying(EngineChoice.Colocated.class,
				(colocated) -> assertThat(colocated.decode()).isEqualTo(healthy));
		assertThat(choose(List.of(broken), 1)).isInstanceOf(EngineChoice.Colocated.class);
		assertThat(choose(List.of(broken, healthy), 2 * SECOND)).isInstanceOfSatisfying(EngineChoice.Colocated.class,
				(colocated) -> assertThat(colocated.decode()).isEqualTo(broken));
	}

	@Test
	void successResetsAvoidanceTime() {
		ListedServer recovered = ForwardingFixture.decode("d", "here");
		ListedServer other = ForwardingFixture.decode("other", "there");
		for (int failure = 0; failure < 4; failure++) {
			this.placement.recordFailure(recovered.name(), failure * 10 * SECOND);
			this.placement.recordSuccess(recovered.name());
		}
		assertThat(choose(List.of(recovered, other), 32 * SECOND)).isInstanceOfSatisfying(EngineChoice.Colocated.class,
				(colocated) -> assertThat(colocated.decode()).isEqualTo(recovered));
	}

	@Test
	void requestThatCannotStartBeforeDeadlineIsNotPlaced() {
		ListedServer decode = ForwardingFixture.decode("d", "here");
		EngineChoice choice = this.placement.choose(List.of(decode), LIMITS, ForwardingFixture.request(3000, 840),
				Set.of(), true, 0.95, 100, 0);
		assertThat(choice).isInstanceOf(EngineChoice.NoEngine.class);
	}

}
