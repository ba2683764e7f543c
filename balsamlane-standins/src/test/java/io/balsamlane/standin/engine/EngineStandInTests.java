package io.balsamlane.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.FleetHttp;
import io.balsamlane.standin.fleet.FleetHttp.Answer;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EngineStandIn}. A stand-in whose timing, wasted-token count or fencing
 * deviates from the capacity model would let tests and measurements accept a faulty
 * router.
 */
class EngineStandInTests {

	private final Vertx vertx = Vertx.vertx();

	private final FleetHttp http = FleetHttp.create();

	private String url;

	@AfterEach
	void close() {
		this.vertx.close();
	}

	@Test
	void prefillOfHigherPriorityRunsBeforeQueuedOnesButDoesNotPreemptRunningOne() throws Exception {
		start(EngineBehaviour.ofDefaults(), 1000);
		List<String> order = new CopyOnWriteArrayList<>();
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		calls.add(prefillAsync("running", 300, 0, order));
		calls.add(prefillAsync("patient", 100, 0, order));
		calls.add(prefillAsync("urgent", 100, 5, order));
		CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).get(10, TimeUnit.SECONDS);
		assertThat(order).containsExactly("running", "urgent", "patient");
	}

	@Test
	void prefillDurationFollowsCapacityModel() throws Exception {
		start(EngineBehaviour.ofDefaults(), 1000);
		prefill("warm-up", 10, 0);
		long startNanos = System.nanoTime();
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			calls.add(prefillAsync("a" + i, 100, 0, new CopyOnWriteArrayList<>()));
		}
		CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).get(10, TimeUnit.SECONDS);
		assertThat(System.nanoTime() - startNanos).isGreaterThan(495_000_000L);
	}

	@Test
	void evictedAndCancelledPrefillsCountAsWastedTokens() throws Exception {
		start(EngineBehaviour.ofDefaults(), 1000);
		CompletableFuture<Void> cancelled = prefillAsync("cancelled", 1000, 0, new CopyOnWriteArrayList<>());
		TimeUnit.MILLISECONDS.sleep(200);
		post("/v1/cancel", new JsonObject().put("attempt", "cancelled"));
		cancelled.get(5, TimeUnit.SECONDS);
		JsonObject interrupted = state();
		assertThat(interrupted.getInteger("wastedPrefillTokens")).isBetween(100, 900);
		assertThat(interrupted.getInteger("prefillTokens")).isEqualTo(interrupted.getInteger("wastedPrefillTokens"));
		prefill("evicted", 50, 0);
		Fleet.await("the result is evicted", Duration.ofSeconds(5), () -> state().getInteger("usedPieces") == 0);
		assertThat(state().getInteger("wastedPrefillTokens"))
			.isEqualTo(interrupted.getInteger("wastedPrefillTokens") + 50);
	}

	@Test
	void staleFencingNumberIsRejectedOnlyIfFencingIsChecked() throws Exception {
		start(EngineBehaviour.ofDefaults(), 1000);
		assertThat(orders()).containsExactly(200, 409, 200);
		start(new EngineBehaviour(false, 0, 0, Map.of(), 1), 1000);
		assertThat(orders()).containsExactly(200, 200, 200);
		JsonArray log = new JsonObject(this.http.get(this.url + "/stand-in/orders").body()).getJsonArray("orders");
		assertThat(log).hasSize(3);
	}

	private List<Integer> orders() {
		return List.of(7, 6, 7)
			.stream()
			.map((fencing) -> post("/v1/orders",
					new JsonObject().put("fencing", fencing).put("kind", "load_adapter").put("value", "a")))
			.map(Answer::status)
			.toList();
	}

	@Test
	void droppedCacheEventsLeaveGapsInSequenceNumbers() {
		PrefixCache cache = new PrefixCache(1000, 0, new BooleanSupplier() {

			private int calls;

			@Override
			public boolean getAsBoolean() {
				return this.calls++ % 3 == 1;
			}

		});
		cache.reuse(List.of(11, 12, 13, 14));
		assertThat(cache.eventsAfter(0).stream().map((event) -> ((JsonObject) event).getInteger("sequence")).toList())
			.containsExactly(1, 3, 4);
	}

	private void start(EngineBehaviour behaviour, int prefillTokensPerSecond) throws Exception {
		EngineCapacity capacity = new EngineCapacity(60, 2048, prefillTokensPerSecond, 1000, 0, 800, 1000,
				1_000_000_000L, 100, 100);
		int port = this.vertx.executeBlocking(() -> 0)
			.compose((zero) -> new EngineStandIn(this.vertx, 0, "engine", capacity, behaviour).start())
			.toCompletionStage()
			.toCompletableFuture()
			.get(10, TimeUnit.SECONDS);
		this.url = "http://127.0.0.1:" + port;
	}

	private CompletableFuture<Void> prefillAsync(String attempt, int tokens, int priority, List<String> order) {
		CompletableFuture<Void> call = CompletableFuture.runAsync(() -> {
			prefill(attempt, tokens, priority);
			order.add(attempt);
		}, (task) -> new Thread(task, attempt).start());
		Fleet.await(attempt + " has arrived", Duration.ofSeconds(5),
				() -> state().getJsonArray("running").encode().contains('"' + attempt + '"'));
		return call;
	}

	private Answer prefill(String attempt, int tokens, int priority) {
		return post("/v1/prefill",
				new JsonObject().put("attempt", attempt)
					.put("prompt", (attempt + " ").repeat(tokens))
					.put("priority", priority));
	}

	private Answer post(String path, JsonObject body) {
		return this.http.send("POST", this.url + path, body.encode(), Map.of());
	}

	private JsonObject state() {
		return new JsonObject(this.http.get(this.url + "/stand-in/state").body());
	}

}
