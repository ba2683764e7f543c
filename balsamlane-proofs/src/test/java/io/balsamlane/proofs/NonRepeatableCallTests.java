package io.balsamlane.proofs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.FleetHttp.Answer;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against running a non-repeatable call twice, and against reporting a call that
 * ran as "not run", when copies of the call reach all routers at once while routers or
 * the store fail.
 */
class NonRepeatableCallTests {

	private static final List<String> PLACES = List.of("doto-a", "dohoku-a", "donan-a");

	private static final List<String> REPLICAS = List.of("ledger-1", "ledger-2");

	private final ExecutorService senders = Executors.newFixedThreadPool(48);

	private final Fleet fleet = Fleet.create(100);

	private final List<SentCopy> sent = new ArrayList<>();

	@BeforeEach
	void start() {
		REPLICAS.forEach((replica) -> this.fleet.service(replica, "ledger", "doto-a", "doto"));
		PLACES.forEach((place) -> this.fleet.router("router-" + place, place, place.substring(0, place.length() - 2),
				Map.of()));
		this.fleet.apply("""
				[service ledger]
				repeatable = GET
				[selector everything]
				cross_region = true
				""");
		this.fleet.routers()
			.forEach((router) -> Fleet.await("the ledger is reached through every router", Duration.ofSeconds(15),
					() -> send(router, "warm-up-" + router.callerPort()).status() == 200));
	}

	@AfterEach
	void stop() {
		this.senders.shutdownNow();
		this.fleet.close();
	}

	@Test
	void concurrentCopiesRunOnceWhenStoreAnswersAreLost() throws Exception {
		this.fleet.faults("store", new JsonObject().put("loseWriteAnswers", 5));
		sendThroughAll("lost-answer", 12);
		awaitAnswers();
		assertThat(keysAnsweredOk()).as("calls that ran").hasSize(12);
		assertRunsMatchAnswers();
	}

	@Test
	@Tag("proof")
	void routerPausedBetweenIntentAndDispatchCausesNoSecondRun() throws Exception {
		for (int round = 0; round < 3; round++) {
			RouterProcess paused = this.fleet.routers().get(round);
			// Delayed store answers keep intents open while the process is paused.
			this.fleet.faults("store", new JsonObject().put("delayMillis", 150));
			sendThroughAll("paused-" + round, 8);
			TimeUnit.MILLISECONDS.sleep(100 + 80 * round);
			paused.process().pause();
			sendThrough(others(paused), "paused-" + round, 8);
			TimeUnit.SECONDS.sleep(8);
			paused.process().resume();
			this.fleet.faults("store", new JsonObject().put("delayMillis", 0));
			awaitAnswers();
			assertRunsMatchAnswers();
		}
	}

	@Test
	@Tag("proof")
	void killedRouterCausesNoSecondRun() throws Exception {
		RouterProcess dying = this.fleet.routers().get(1);
		sendThroughAll("death", 30);
		TimeUnit.MILLISECONDS.sleep(60);
		dying.process().kill();
		sendThrough(others(dying), "death", 30);
		awaitAnswers();
		assertRunsMatchAnswers();
		Fleet.await("new calls run again", Duration.ofSeconds(15), () -> IntStream.range(0, 8)
			.allMatch((number) -> send(others(dying).get(0), "after-death-" + number).status() == 200));
		assertRunsMatchAnswers();
	}

	@Test
	@Tag("proof")
	void storeOutageRefusesCallsImmediatelyAsNotRunAndServesRepeatableCalls() throws Exception {
		sendThroughAll("before-outage", 10);
		this.fleet.faults("store", new JsonObject().put("down", true));
		sendThroughAll("outage", 20);
		awaitAnswers();
		assertRunsMatchAnswers();
		long startNanos = System.nanoTime();
		Answer refused = send(this.fleet.routers().get(0), "during-outage");
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofMillis(500));
		assertThat(refused.status()).isEqualTo(503);
		assertThat(new JsonObject(refused.body()).getString("ran")).isEqualTo("no");
		assertThat(this.fleet.http().get(this.fleet.routers().get(0).callerUrl("/services/ledger/status")).status())
			.isEqualTo(200);
		this.fleet.faults("store", new JsonObject().put("down", false));
		Fleet.await("a refused call runs after the outage", Duration.ofSeconds(15),
				() -> send(this.fleet.routers().get(0), "during-outage").status() == 200);
		assertRunsMatchAnswers();
	}

	private List<RouterProcess> others(RouterProcess router) {
		return this.fleet.routers().stream().filter((other) -> other != router).toList();
	}

	private void sendThroughAll(String name, int calls) {
		sendThrough(this.fleet.routers(), name, calls);
	}

	private void sendThrough(List<RouterProcess> routers, String name, int calls) {
		for (int number = 0; number < calls; number++) {
			String key = name + "-" + number;
			routers.forEach((router) -> this.sent.add(new SentCopy(key, this.senders.submit(() -> send(router, key)))));
		}
	}

	private Answer send(RouterProcess router, String key) {
		return this.fleet.http()
			.send("POST", router.callerUrl("/services/ledger/pickups"), "pickup of " + key,
					Map.of("Idempotency-Key", key));
	}

	private void awaitAnswers() throws Exception {
		for (SentCopy copy : this.sent) {
			copy.answer().get(40, TimeUnit.SECONDS);
		}
	}

	private List<String> keysAnsweredOk() {
		return this.sent.stream()
			.filter((copy) -> copy.result().status() == 200)
			.map(SentCopy::key)
			.distinct()
			.toList();
	}

	private void assertRunsMatchAnswers() {
		List<String> ran = REPLICAS.stream()
			.flatMap((replica) -> new JsonArray(this.fleet.inspect(replica, "ledger")).stream())
			.map((entry) -> ((JsonObject) entry).getString("idempotencyKey"))
			.flatMap(Stream::ofNullable)
			.toList();
		assertThat(ran).as("each key runs at most once").doesNotHaveDuplicates();
		assertThat(ran).as("each answered call ran").containsAll(keysAnsweredOk());
		List<String> onlyNotRun = this.sent.stream()
			.map(SentCopy::key)
			.distinct()
			.filter((key) -> this.sent.stream()
				.filter((copy) -> copy.key().equals(key))
				.allMatch((copy) -> copy.result().body().contains("\"ran\":\"no\"")))
			.toList();
		assertThat(onlyNotRun).as("calls of which every copy was answered as not run").noneMatch(ran::contains);
		this.sent.stream()
			.filter((copy) -> copy.result().status() == 200)
			.forEach((copy) -> assertThat(new JsonObject(copy.result().body()).getString("idempotencyKey"))
				.isEqualTo(copy.key()));
	}

	private record SentCopy(String key, Future<Answer> answer) {

		Answer result() {
			try {
				return this.answer.get(0, TimeUnit.SECONDS);
			}
			catch (Exception ex) {
				throw new IllegalStateException("The copy of the call has not been answered yet", ex);
			}
		}

	}

}
