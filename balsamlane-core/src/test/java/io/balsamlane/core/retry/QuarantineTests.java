package io.balsamlane.core.retry;

import java.util.List;
import java.util.Map;

import io.balsamlane.core.retry.Quarantine.Decision;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against crashing requests that go on killing servers, and against innocent
 * requests that are refused.
 */
class QuarantineTests {

	private static final long SECOND = 1_000_000_000L;

	private static final long CULPRIT = 1;

	private static final long BYSTANDER = 2;

	private final Quarantine quarantine = Quarantine.create(8, 4, 3 * SECOND, 600 * SECOND);

	@Test
	void onlyCommonRequestOfTwoDeathsIsQuarantined() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0, BYSTANDER, 5, 3L, 9), 0);
		assertThat(this.quarantine.decide(SECOND)).isEmpty();
		this.quarantine.died("e2", Map.of(CULPRIT, 0, 4L, 7), 2 * SECOND);
		assertThat(this.quarantine.decide(3 * SECOND)).containsExactly(new Decision(CULPRIT, List.of("e1", "e2")));
		assertThat(this.quarantine.refuses(CULPRIT, 4 * SECOND)).isTrue();
		assertThat(this.quarantine.refuses(BYSTANDER, 4 * SECOND)).isFalse();
		assertThat(this.quarantine.refuses(CULPRIT, 700 * SECOND)).isFalse();
	}

	@Test
	void bystanderThatSharedBothServersIsToldApartByTheNextDeath() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0, BYSTANDER, 5), 0);
		this.quarantine.died("e2", Map.of(CULPRIT, 0, BYSTANDER, 5), 10 * SECOND);
		assertThat(this.quarantine.decide(11 * SECOND)).isEmpty();
		assertThat(this.quarantine.turn(CULPRIT)).isZero();
		assertThat(this.quarantine.turn(BYSTANDER)).isEqualTo(1);
		this.quarantine.died("e3", Map.of(CULPRIT, 0), 20 * SECOND);
		assertThat(this.quarantine.decide(21 * SECOND)).extracting(Decision::fingerprint).containsExactly(CULPRIT);
	}

	@Test
	void thirdDeathDecidesAlthoughEachPairOfDeathsHasABystanderInCommon() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0, 3L, 0, 4L, 0), 0);
		this.quarantine.died("e2", Map.of(CULPRIT, 0, 3L, 0, 5L, 0), 10 * SECOND);
		this.quarantine.died("e3", Map.of(CULPRIT, 0, 4L, 0, 5L, 0), 20 * SECOND);
		assertThat(this.quarantine.decide(21 * SECOND))
			.containsExactly(new Decision(CULPRIT, List.of("e1", "e2", "e3")));
	}

	@Test
	void bystanderThatAnotherRouterClearsNoLongerHidesTheCulprit() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0), 0);
		this.quarantine.reported("e1", List.of(BYSTANDER), 0);
		this.quarantine.died("e2", Map.of(CULPRIT, 0), 10 * SECOND);
		this.quarantine.reported("e2", List.of(BYSTANDER), 10 * SECOND);
		assertThat(this.quarantine.decide(11 * SECOND)).isEmpty();
		assertThat(this.quarantine.completed(BYSTANDER)).isTrue();
		assertThat(this.quarantine.completed(BYSTANDER)).isFalse();
		assertThat(this.quarantine.decide(11 * SECOND)).extracting(Decision::fingerprint).containsExactly(CULPRIT);
	}

	@Test
	void suspectsOfOneDeathHaveDifferentTurnsAtEveryRouter() {
		Quarantine other = Quarantine.create(8, 4, 3 * SECOND, 600 * SECOND);
		this.quarantine.died("e1", Map.of(9L, 0, CULPRIT, 0), 0);
		this.quarantine.reported("e1", List.of(5L), SECOND);
		other.died("e1", Map.of(5L, 0), 0);
		other.reported("e1", List.of(CULPRIT, 9L), SECOND);
		for (Quarantine router : List.of(this.quarantine, other)) {
			assertThat(List.of(router.turn(CULPRIT), router.turn(5L), router.turn(9L))).containsExactly(0, 1, 2);
		}
	}

	@Test
	void bystanderOnAnotherRouterIsNotTakenForTheCulprit() {
		this.quarantine.died("e1", Map.of(BYSTANDER, 5), 0);
		this.quarantine.reported("e1", List.of(CULPRIT), SECOND);
		this.quarantine.reported("e2", List.of(CULPRIT), 10 * SECOND);
		this.quarantine.died("e2", Map.of(BYSTANDER, 5), 10 * SECOND + 1);
		assertThat(this.quarantine.decide(11 * SECOND)).isEmpty();
	}

	@Test
	void requestThatMovesBetweenKilledServersIsClearedByItsProgress() {
		this.quarantine.died("e1", Map.of(BYSTANDER, 5), 0);
		this.quarantine.progressed(BYSTANDER, 5 + Quarantine.CLEARING_TOKENS);
		this.quarantine.died("e2", Map.of(BYSTANDER, 40), 10 * SECOND);
		assertThat(this.quarantine.decide(11 * SECOND)).isEmpty();
		assertThat(this.quarantine.deaths(BYSTANDER)).isEqualTo(1);
	}

	@Test
	void twoDeathsOfOneServerAndCompletedRequestsAreNoEvidence() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0), 0);
		this.quarantine.died("e1", Map.of(CULPRIT, 0), 10 * SECOND);
		assertThat(this.quarantine.decide(11 * SECOND)).isEmpty();
		this.quarantine.completed(CULPRIT);
		this.quarantine.died("e2", Map.of(CULPRIT, 0), 20 * SECOND);
		assertThat(this.quarantine.decide(21 * SECOND)).isEmpty();
	}

	@Test
	void tablesAreBounded() {
		for (long fingerprint = 0; fingerprint < 100; fingerprint++) {
			this.quarantine.accept(fingerprint, 10 * SECOND, 0);
			this.quarantine.died("e" + fingerprint, Map.of(7L, 0), fingerprint * SECOND);
		}
		assertThat(this.quarantine.deaths(7L)).isEqualTo(8);
		assertThat(this.quarantine.refuses(95L, 0)).isFalse();
		assertThat(this.quarantine.refuses(96L, 0)).isTrue();
	}

}
