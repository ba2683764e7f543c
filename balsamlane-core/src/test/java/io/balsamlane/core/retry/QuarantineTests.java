package io.balsamlane.core.retry;

import java.util.List;
import java.util.Map;

import io.balsamlane.core.retry.Quarantine.Decision;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Quarantine}. Guards against requests that keep crashing servers
 * because they are not quarantined, and against unrelated requests that are quarantined.
 */
class QuarantineTests {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final long CULPRIT = 1;

	private static final long BYSTANDER = 2;

	private final Quarantine quarantine = Quarantine.create(8, 4, 3 * NANOS_PER_SECOND, NANOS_PER_SECOND / 4,
			600 * NANOS_PER_SECOND);

	@Test
	void onlyRequestCommonToTwoDeathsIsQuarantined() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0, BYSTANDER, 5, 3L, 9), 0);
		assertThat(this.quarantine.quarantineCulprits(NANOS_PER_SECOND)).isEmpty();
		this.quarantine.died("e2", Map.of(CULPRIT, 0, 4L, 7), 2 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(3 * NANOS_PER_SECOND))
			.containsExactly(new Decision(CULPRIT, List.of("e1", "e2")));
		assertThat(this.quarantine.isQuarantined(CULPRIT, 4 * NANOS_PER_SECOND)).isTrue();
		assertThat(this.quarantine.isQuarantined(BYSTANDER, 4 * NANOS_PER_SECOND)).isFalse();
		assertThat(this.quarantine.isQuarantined(CULPRIT, 700 * NANOS_PER_SECOND)).isFalse();
	}

	@Test
	void nextDeathSeparatesCulpritFromBystanderOnSameServers() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0, BYSTANDER, 5), 0);
		this.quarantine.died("e2", Map.of(CULPRIT, 0, BYSTANDER, 5), 10 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(11 * NANOS_PER_SECOND)).isEmpty();
		assertThat(this.quarantine.suspectIndex(CULPRIT)).isZero();
		assertThat(this.quarantine.suspectIndex(BYSTANDER)).isEqualTo(1);
		this.quarantine.died("e3", Map.of(CULPRIT, 0), 20 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(21 * NANOS_PER_SECOND)).extracting(Decision::fingerprint)
			.containsExactly(CULPRIT);
	}

	@Test
	void thirdDeathIdentifiesCulpritWhenEachPairOfDeathsSharesABystander() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0, 3L, 0, 4L, 0), 0);
		this.quarantine.died("e2", Map.of(CULPRIT, 0, 3L, 0, 5L, 0), 10 * NANOS_PER_SECOND);
		this.quarantine.died("e3", Map.of(CULPRIT, 0, 4L, 0, 5L, 0), 20 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(21 * NANOS_PER_SECOND))
			.containsExactly(new Decision(CULPRIT, List.of("e1", "e2", "e3")));
	}

	@Test
	void culpritIsQuarantinedOnceBystanderCompletesOnAnotherRouter() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0), 0);
		this.quarantine.reported("e1", List.of(BYSTANDER), 0);
		this.quarantine.died("e2", Map.of(CULPRIT, 0), 10 * NANOS_PER_SECOND);
		this.quarantine.reported("e2", List.of(BYSTANDER), 10 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(11 * NANOS_PER_SECOND)).isEmpty();
		assertThat(this.quarantine.completed(BYSTANDER)).isTrue();
		assertThat(this.quarantine.completed(BYSTANDER)).isFalse();
		assertThat(this.quarantine.quarantineCulprits(11 * NANOS_PER_SECOND)).extracting(Decision::fingerprint)
			.containsExactly(CULPRIT);
	}

	@Test
	void suspectsOfOneDeathHaveSameDistinctIndexesOnAllRouters() {
		Quarantine other = Quarantine.create(8, 4, 3 * NANOS_PER_SECOND, NANOS_PER_SECOND / 4, 600 * NANOS_PER_SECOND);
		this.quarantine.died("e1", Map.of(9L, 0, CULPRIT, 0), 0);
		this.quarantine.reported("e1", List.of(5L), NANOS_PER_SECOND);
		other.died("e1", Map.of(5L, 0), 0);
		other.reported("e1", List.of(CULPRIT, 9L), NANOS_PER_SECOND);
		for (Quarantine router : List.of(this.quarantine, other)) {
			assertThat(List.of(router.suspectIndex(CULPRIT), router.suspectIndex(5L), router.suspectIndex(9L)))
				.containsExactly(0, 1, 2);
		}
	}

	@Test
	void localBystanderIsNotQuarantinedWhenCulpritRanOnAnotherRouter() {
		this.quarantine.died("e1", Map.of(BYSTANDER, 5), 0);
		this.quarantine.reported("e1", List.of(CULPRIT), NANOS_PER_SECOND);
		this.quarantine.reported("e2", List.of(CULPRIT), 10 * NANOS_PER_SECOND);
		this.quarantine.died("e2", Map.of(BYSTANDER, 5), 10 * NANOS_PER_SECOND + 1);
		assertThat(this.quarantine.quarantineCulprits(11 * NANOS_PER_SECOND)).isEmpty();
	}

	@Test
	void progressClearsRequestThatIsRetriedAcrossKilledServers() {
		this.quarantine.died("e1", Map.of(BYSTANDER, 5), 0);
		this.quarantine.progressed(BYSTANDER, 5 + Quarantine.CLEARING_TOKENS);
		this.quarantine.died("e2", Map.of(BYSTANDER, 40), 10 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(11 * NANOS_PER_SECOND)).isEmpty();
		assertThat(this.quarantine.deathCount(BYSTANDER)).isEqualTo(1);
	}

	@Test
	void deathAboutWhichReportsMayBeOutstandingIsNotDecidedUpon() {
		this.quarantine.died("e1", Map.of(BYSTANDER, 0), 0);
		this.quarantine.reported("e1", List.of(CULPRIT), 0);
		this.quarantine.died("e2", Map.of(BYSTANDER, 0), 10 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(10 * NANOS_PER_SECOND + 1)).isEmpty();
		this.quarantine.reported("e2", List.of(CULPRIT), 10 * NANOS_PER_SECOND + 2);
		assertThat(this.quarantine.quarantineCulprits(11 * NANOS_PER_SECOND)).isEmpty();
	}

	@Test
	void repeatedDeathsOfOneServerAndCompletedRequestsDoNotQuarantine() {
		this.quarantine.died("e1", Map.of(CULPRIT, 0), 0);
		this.quarantine.died("e1", Map.of(CULPRIT, 0), 10 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(11 * NANOS_PER_SECOND)).isEmpty();
		this.quarantine.completed(CULPRIT);
		this.quarantine.died("e2", Map.of(CULPRIT, 0), 20 * NANOS_PER_SECOND);
		assertThat(this.quarantine.quarantineCulprits(21 * NANOS_PER_SECOND)).isEmpty();
	}

	@Test
	void tablesAreBounded() {
		for (long fingerprint = 0; fingerprint < 100; fingerprint++) {
			this.quarantine.apply(fingerprint, 10 * NANOS_PER_SECOND, 0);
			this.quarantine.died("e" + fingerprint, Map.of(7L, 0), fingerprint * NANOS_PER_SECOND);
		}
		assertThat(this.quarantine.deathCount(7L)).isEqualTo(8);
		assertThat(this.quarantine.isQuarantined(95L, 0)).isFalse();
		assertThat(this.quarantine.isQuarantined(96L, 0)).isTrue();
	}

}
