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
 * Guards against a second run of a non-repeatable call and a false "not run" when copies
 * reach all routers at once and routers or the store fail meanwhile.
 */
class NonRepeatableCallTests {

	private static final List<String> PLACES = List.of("doto-a", "dohoku-a", "donan-a");

	private static final List<String> REPLICAS = List.of("ledger-1", "ledger-2");

	private final ExecutorService senders = Executors.newFixedThreadPool(48);

	private final Fleet fleet = Fleet.create(100);

	private final List<Sent> sent = new ArrayList<>();

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
	void copiesThroughAllRoutersAtOnceRunOnceAlthoughStoreAnswersAreLost() throws Exception {
		this.fleet.faults("store", new JsonObject().put("loseWriteAnswers", 5));
		resendThroughAll("lost-answer", 12);
		collect();
		assertThat(answeredOk()).as("calls that ran").hasSize(12);
		check();
	}

	@Test
	@Tag("proof")
	void routerPausedBetweenIntentAndDispatchCausesNoSecondRun() throws Exception {
		for (int round = 0; round < 3; round++) {
			RouterProcess paused = this.fleet.routers().get(round);
			// The delay of the store keeps intents open while the process is paused.
			this.fleet.faults("store", new JsonObject().put("delayMillis", 150));
			resendThroughAll("paused-" + round, 8);
			TimeUnit.MILLISECONDS.sleep(100 + 80 * round);
			paused.process().pause();
			resend(others(paused), "paused-" + round, 8);
			TimeUnit.SECONDS.sleep(8);
			paused.process().resume();
			this.fleet.faults("store", new JsonObject().put("delayMillis", 0));
			collect();
			check();
		}
	}

	@Test
	@Tag("proof")
	void deathOfARouterCausesNoSecondRun() throws Exception {
		RouterProcess dying = this.fleet.routers().get(1);
		resendThroughAll("death", 30);
		TimeUnit.MILLISECONDS.sleep(60);
		dying.process().kill();
		resend(others(dying), "death", 30);
		collect();
		check();
		Fleet.await("new calls run again", Duration.ofSeconds(15), () -> IntStream.range(0, 8)
			.allMatch((number) -> send(others(dying).get(0), "after-death-" + number).status() == 200));
		check();
	}

	@Test
	@Tag("proof")
	void storeOutageRefusesAtOnceAsNotRunAndRepeatableCallsGoOn() throws Exception {
		resendThroughAll("before-outage", 10);
		this.fleet.faults("store", new JsonObject().put("down", true));
		resendThroughAll("outage", 20);
		collect();
		check();
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
		check();
	}

	private List<RouterProcess> others(RouterProcess router) {
		return this.fleet.routers().stream().filter((other) -> other != router).toList();
	}

	private void resendThroughAll(String name, int calls) {
		resend(this.fleet.routers(), name, calls);
	}

	private void resend(List<RouterProcess> routers, String name, int calls) {
		for (int number = 0; number < calls; number++) {
			String key = name + "-" + number;
			routers.forEach((router) -> this.sent.add(new Sent(key, this.senders.submit(() -> send(router, key)))));
		}
	}

	private Answer send(RouterProcess router, String key) {
		return this.fleet.http()
			.send("POST", router.callerUrl("/services/ledger/pickups"), "pickup of " + key,
					Map.of("Idempotency-Key", key));
	}

	private void collect() throws Exception {
		for (Sent copy : this.sent) {
			copy.answer().get(40, TimeUnit.SECONDS);
		}
	}

	private List<String> answeredOk() {
		return this.sent.stream().filter((copy) -> copy.result().status() == 200).map(Sent::key).distinct().toList();
	}

	private void check() {
		List<String> ran = REPLICAS.stream()
			.flatMap((replica) -> new JsonArray(this.fleet.inspect(replica, "ledger")).stream())
			.map((entry) -> ((JsonObject) entry).getString("idempotencyKey"))
			.flatMap(Stream::ofNullable)
			.toList();
		assertThat(ran).as("each key runs at most once").doesNotHaveDuplicates();
		assertThat(ran).as("each answered call ran").containsAll(answeredOk());
		List<String> onlyNotRun = this.sent.stream()
			.map(Sent::key)
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

	private record Sent(String key, Future<Answer> answer) {

		Answer result() {
			try {
				return this.answer.get(0, TimeUnit.SECONDS);
			}
			catch (Exception ex) {
				throw new IllegalStateException("The copy is not answered yet", ex);
			}
		}

	}

}
