package io.balsamlane.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import io.balsamlane.core.model.PromptPart;
import io.balsamlane.core.retry.PromptPartQuarantine.Decision;
import io.balsamlane.core.retry.PromptPartQuarantine.Suspect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptPartQuarantine}. Guards against parts under which servers keep
 * crashing, and against parts that are refused although they crash nothing.
 */
class PromptPartQuarantineTests {

	private static final long MILLI = 1_000_000;

	private static final long RETENTION_NANOS = 600_000 * MILLI;

	private static final PromptPart SHARED = PromptPart.of(1);

	private static final PromptPart CRASHING = PromptPart.of(2);

	private static final PromptPart OTHER = PromptPart.of(3);

	private final PromptPartQuarantine quarantine = PromptPartQuarantine.create(64, 100, 3000 * MILLI, 200 * MILLI,
			RETENTION_NANOS);

	// A crash at the given time under a request that was sent 100 ms earlier.
	private void crash(int atMillis, PromptPart... parts) {
		crash("server-" + atMillis, atMillis, atMillis - 100, parts);
	}

	private void crash(String server, int atMillis, int sentMillis, PromptPart... parts) {
		this.quarantine.crashed(server, List.of(new Suspect(List.of(parts), sentMillis * MILLI)), true,
				atMillis * MILLI);
	}

	private List<PromptPart> quarantined(int atMillis) {
		return this.quarantine.quarantineCulprits(atMillis * MILLI).stream().map(Decision::part).toList();
	}

	@Test
	void quarantinesPartCommonToThreeCrashesInSequence() {
		crash(1000, SHARED, CRASHING);
		crash(2000, SHARED, CRASHING);
		this.quarantine.produced(List.of(SHARED), 2500 * MILLI);
		assertThat(quarantined(2600)).isEmpty();
		crash(3000, SHARED, CRASHING);
		assertThat(this.quarantine.quarantineCulprits(3300 * MILLI))
			.containsExactly(new Decision(CRASHING, List.of("server-1000", "server-2000", "server-3000")));
		assertThat(this.quarantine.isQuarantined(CRASHING, 4000 * MILLI)).isTrue();
		assertThat(this.quarantine.isQuarantined(SHARED, 4000 * MILLI)).isFalse();
		assertThat(this.quarantine.isQuarantined(CRASHING, 3300 * MILLI + RETENTION_NANOS)).isFalse();
	}

	@Test
	void prefersMoreSpecificPartAndCorrectsItselfWithNextCrash() {
		crash(1000, SHARED, OTHER);
		crash(2000, SHARED, OTHER);
		crash(3000, SHARED, OTHER);
		assertThat(quarantined(3300)).containsExactly(OTHER);
		crash(4000, SHARED);
		assertThat(quarantined(4300)).containsExactly(SHARED);
	}

	@Test
	void prefersPartThatNeverProducedOutput() {
		this.quarantine.produced(List.of(OTHER), 0);
		crash(1000, CRASHING, OTHER);
		crash(2000, CRASHING, OTHER);
		crash(3000, CRASHING, OTHER);
		assertThat(quarantined(3300)).containsExactly(CRASHING);
	}

	@Test
	void partOfRequestsOnServersThatCrashTogetherIsNotQuarantined() {
		for (int number = 0; number < 8; number++) {
			crash("server-" + number, 1000 + 10 * number, 900, SHARED);
		}
		assertThat(quarantined(1400)).isEmpty();
	}

	@Test
	void outputClearsPartOfEarlierCrashes() {
		crash(1000, SHARED);
		crash(2000, SHARED);
		this.quarantine.produced(List.of(SHARED), 2001 * MILLI);
		crash(3000, SHARED);
		assertThat(quarantined(3300)).isEmpty();
	}

	@Test
	void bystanderThatIsInvolvedInFewerCrashesIsNotQuarantined() {
		crash("a", 1000, 900, CRASHING);
		for (int number = 2; number <= 4; number++) {
			String server = "b" + number;
			crash(server, number * 1000, number * 1000 - 100, CRASHING);
			crash(server, number * 1000, number * 1000 - 100, OTHER);
		}
		assertThat(quarantined(4300)).containsExactly(CRASHING);
		crash(5000, SHARED);
		assertThat(quarantined(5300)).isEmpty();
	}

	@Test
	void waitsForAnotherCrashIfPartsOfDifferentRequestsCannotBeToldApart() {
		for (int number = 1; number <= 3; number++) {
			crash("s" + number, number * 1000, number * 1000 - 100, CRASHING);
			crash("s" + number, number * 1000, number * 1000 - 100, OTHER);
		}
		assertThat(quarantined(3300)).isEmpty();
		assertThat(this.quarantine.candidates(3300 * MILLI)).containsExactlyInAnyOrder(CRASHING, OTHER);
		crash(4000, CRASHING);
		assertThat(quarantined(4300)).containsExactly(CRASHING);
	}

	@Test
	void reportsOfOneCrashAreMerged() {
		for (int router = 0; router < 5; router++) {
			crash("server", 1000 + router, 900 + router, CRASHING);
		}
		assertThat(quarantined(1300)).isEmpty();
	}

	@Test
	void restartedServerThatCrashesAgainCountsAgain() {
		crash("server", 1000, 900, CRASHING);
		crash("server", 5000, 4900, CRASHING);
		crash("server", 9000, 8900, CRASHING);
		assertThat(quarantined(9300)).containsExactly(CRASHING);
	}

	@Test
	void crashAboutWhichReportsMayBeOutstandingIsNotDecidedUpon() {
		crash(1000, CRASHING);
		crash(2000, CRASHING);
		crash(3000, CRASHING);
		assertThat(quarantined(3199)).isEmpty();
		assertThat(quarantined(3200)).containsExactly(CRASHING);
	}

	@Test
	void leavesDecisionToRouterWhoseRequestsWereInvolved() {
		for (int number = 1; number <= 3; number++) {
			this.quarantine.crashed("s" + number,
					List.of(new Suspect(List.of(CRASHING), (number * 1000 - 100) * MILLI)), false,
					number * 1000 * MILLI);
		}
		assertThat(quarantined(3300)).isEmpty();
	}

	@Test
	void repeatedQuarantineIsNotExtended() {
		assertThat(this.quarantine.apply(CRASHING, 1000 * MILLI, 0)).isTrue();
		assertThat(this.quarantine.apply(CRASHING, 1000 * MILLI, 900 * MILLI)).isFalse();
		assertThat(this.quarantine.remainingNanos(900 * MILLI)).containsEntry(CRASHING, 100 * MILLI);
		assertThat(this.quarantine.isQuarantined(CRASHING, 1000 * MILLI)).isFalse();
	}

	@Test
	void tablesAreBounded() {
		IntStream.range(0, 1000).forEach((number) -> {
			this.quarantine.apply(PromptPart.of(number), RETENTION_NANOS, 0);
			this.quarantine.produced(List.of(PromptPart.of(number)), 0);
			crash(number, PromptPart.of(number));
		});
		assertThat(this.quarantine.remainingNanos(0)).hasSize(100);
		assertThat(this.quarantine.outputAgeNanos(PromptPart.of(899), 0)).isEmpty();
		assertThat(this.quarantine.outputAgeNanos(PromptPart.of(900), 0)).isPresent();
	}

	// Requests of many callers on 13 engines; one part in a share of them crashes its
	// engine, and engines also crash without any cause, alone and together.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void onlyCrashingPartIsQuarantinedAmongRandomCrashes(long seed) {
		Random random = new Random(seed);
		PromptPartQuarantine routers = PromptPartQuarantine.create(64, 4096, 3000 * MILLI, 0, RETENTION_NANOS);
		List<PromptPart> decided = new ArrayList<>();
		int crashesUnderPart = 0;
		for (int millis = 0; millis < 600_000; millis += 100) {
			boolean together = random.nextInt(300) == 0;
			boolean underPart = !routers.isQuarantined(CRASHING, millis * MILLI) && random.nextInt(40) == 0;
			for (int engine = 0; engine < 13; engine++) {
				boolean crashes = (together && engine < 6) || random.nextInt(2000) == 0 || (underPart && engine == 0);
				List<PromptPart> parts = new ArrayList<>(
						List.of(PromptPart.of(100 + random.nextInt(20)), PromptPart.of(1000 + random.nextInt(60))));
				if (!crashes) {
					routers.produced(parts, millis * MILLI);
					continue;
				}
				List<Suspect> suspects = new ArrayList<>(List.of(new Suspect(parts, (millis - 250) * MILLI)));
				if (underPart && engine == 0) {
					crashesUnderPart++;
					suspects.add(new Suspect(List.of(PromptPart.of(100 + random.nextInt(20)), CRASHING),
							(millis - 90) * MILLI));
				}
				routers.crashed("engine-" + engine + "/" + millis, suspects, true, millis * MILLI);
			}
			routers.quarantineCulprits(millis * MILLI).forEach((decision) -> decided.add(decision.part()));
		}
		assertThat(decided).as("seed %d", seed).containsExactly(CRASHING);
		assertThat(crashesUnderPart).as("seed %d", seed).isLessThanOrEqualTo(5);
	}

}
