package io.balsamlane.proofs;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.FleetHttp.Answer;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Verifies guarantee 8 with real processes: an accepted change is in force on all routers
 * within 4 s and is never reverted, despite faults of the store, of routers and of
 * operators.
 */
@Tag("proof")
class ConfigurationProofTests {

	@Test
	void routerPausedDuringAChangeIsReportedAndNeverServesTheOldRevisionAfterwards() {
		try (ConfigurationFleet fleet = new ConfigurationFleet(4)) {
			RouterProcess paused = fleet.router(3);
			paused.process().pause();
			Answer stored = fleet.submit(fleet.router(1), "close", false, 1);
			long revision = ConfigurationFleet.revision(stored);
			List<RouterProcess> others = List.of(fleet.router(1), fleet.router(2), fleet.router(4));
			Fleet.await("the change is in force on the others", ConfigurationFleet.IN_FORCE_TARGET,
					() -> others.stream().noneMatch(fleet::admits));
			assertThat(fleet.inForce(fleet.router(1), revision).getJsonArray("missing")).containsExactly("router-3");
			Fleet.await("the pause is longer than the target", Duration.ofSeconds(10), elapsed(5));
			paused.process().resume();
			assertThat(fleet.admits(paused)).as("the first request after the pause").isFalse();
			Fleet.await("the change is in force everywhere", ConfigurationFleet.IN_FORCE_TARGET,
					() -> fleet.inForce(fleet.router(1), revision).getJsonArray("missing").isEmpty());
			assertThat(fleet.admits(paused)).isFalse();
		}
	}

	private static java.util.function.BooleanSupplier elapsed(int seconds) {
		long endNanos = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
		return () -> System.nanoTime() - endNanos > 0;
	}

	@Test
	void storeOutageRefusesChangesButNotRequestsEvenOnANewRouter() {
		try (ConfigurationFleet fleet = new ConfigurationFleet(3)) {
			fleet.fleet().faults("store", new JsonObject().put("down", true));
			Answer refused = fleet.submit(fleet.router(1), "close", false, 1);
			assertThat(refused.status()).isEqualTo(503);
			assertThat(new JsonObject(refused.body()).getString("kind")).isEqualTo("store-unavailable");
			Fleet.await("the outage is longer than the isolation time", Duration.ofSeconds(10), elapsed(6));
			assertThat(fleet.fleet().routers()).allMatch(fleet::admits);
			RouterProcess started = fleet.start(4);
			Fleet.await("a router that starts now gets the configuration from a peer", Duration.ofSeconds(10),
					() -> fleet.admits(started));
			fleet.fleet().faults("store", new JsonObject().put("down", false));
			Fleet.await("the change is accepted", Duration.ofSeconds(10),
					() -> fleet.submit(fleet.router(1), "close", false, 1).status() == 200);
			Fleet.await("the change is in force everywhere", ConfigurationFleet.IN_FORCE_TARGET,
					() -> fleet.fleet().routers().stream().noneMatch(fleet::admits));
		}
	}

	@Test
	void changeIsAppliedOnceWhenTheAnswerToItsWriteIsLost() {
		try (ConfigurationFleet fleet = new ConfigurationFleet(3)) {
			fleet.fleet().faults("store", new JsonObject().put("loseWriteAnswers", 1));
			Answer stored = fleet.submit(fleet.router(2), "close", false, 1);
			assertThat(stored.status()).as(stored.body()).isEqualTo(200);
			assertThat(ConfigurationFleet.revision(stored)).isEqualTo(2);
			Fleet.await("the change is in force everywhere", ConfigurationFleet.IN_FORCE_TARGET,
					() -> fleet.inForce(fleet.router(1), 2).getJsonArray("missing").isEmpty());
			assertThat(fleet.fleet().routers()).noneMatch(fleet::admits);
			assertThat(fleet.configuration(fleet.router(3)).getString("revision")).isEqualTo("2");
		}
	}

	@Test
	void concurrentChangesAcceptOneAndRejectTheOtherAsConflict() {
		try (ConfigurationFleet fleet = new ConfigurationFleet(3)) {
			long revision = 1;
			for (int round = 0; round < 10; round++) {
				long seen = revision;
				boolean open = round % 2 == 1;
				int number = round;
				List<Answer> answers = Stream.of(1, 2)
					.map((router) -> CompletableFuture
						.supplyAsync(() -> fleet.submit(fleet.router(router), "r" + number + "-" + router, open, seen)))
					.toList()
					.stream()
					.map(CompletableFuture::join)
					.toList();
				assertThat(answers).extracting(Answer::status).containsExactlyInAnyOrder(200, 409);
				Answer won = answers.stream().filter((answer) -> answer.status() == 200).findFirst().orElseThrow();
				revision = ConfigurationFleet.revision(won);
				Fleet.await("the winner is in force everywhere", ConfigurationFleet.IN_FORCE_TARGET,
						() -> fleet.fleet().routers().stream().allMatch((router) -> fleet.admits(router) == open));
			}
			assertThat(revision).isEqualTo(11);
		}
	}

}
