package io.balsamlane.proofs;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.balsamlane.standin.engine.Prompt;
import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Verifies the guarantees for model requests while processes are killed or restarted.
 */
class ModelPathProofTests {

	/** Guarantee 1: no piece is held 2 s after the caller closes its connection. */
	private static final Duration RELEASE_TARGET = Duration.ofSeconds(2);

	private static List<Socket> openStreams(RouterProcess router, int count) throws IOException {
		List<Socket> sockets = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			Socket socket = new Socket("127.0.0.1", router.callerPort());
			String body = new JsonObject().put("model", "draft-service")
				.put("prompt", "wax ".repeat(500) + number)
				.put("max_tokens", ModelFleet.MAX_TOKENS)
				.put("stream", true)
				.encode();
			socket.getOutputStream()
				.write(("POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: " + body.length() + "\r\n\r\n"
						+ body)
					.getBytes(StandardCharsets.UTF_8));
			sockets.add(socket);
		}
		return sockets;
	}

	private static void slowDownDecodeEngines(ModelFleet fleet) {
		fleet.engines()
			.stream()
			.filter((engine) -> engine.startsWith("decode"))
			.forEach((engine) -> fleet.fleet().faults(engine, new JsonObject().put("slowFactor", 15)));
	}

	@Test
	void memoryIsReleasedWhenTheCallerClosesAndWhenItsRouterIsKilled() throws IOException {
		try (ModelFleet fleet = new ModelFleet(3, 2, 2, Map.of())) {
			slowDownDecodeEngines(fleet);
			List<Socket> closing = openStreams(fleet.fleet().router("router-1"), 10);
			Fleet.await("streams hold memory", Duration.ofSeconds(5), () -> fleet.usedPieces() >= 10);
			for (Socket socket : closing) {
				socket.close();
			}
			Fleet.await("memory is released after the callers closed", RELEASE_TARGET, () -> fleet.usedPieces() == 0);

			openStreams(fleet.fleet().router("router-1"), 10);
			Fleet.await("streams hold memory", Duration.ofSeconds(5), () -> fleet.usedPieces() >= 10);
			fleet.fleet().router("router-1").process().kill();
			Fleet.await("memory is released after the router was killed", RELEASE_TARGET,
					() -> fleet.usedPieces() == 0);
		}
	}

	@Test
	@Tag("proof")
	void memoryIsReleasedWhenTwoRoutersAreKilledTogether() throws IOException {
		try (ModelFleet fleet = new ModelFleet(4, 2, 2, Map.of())) {
			slowDownDecodeEngines(fleet);
			for (String killed : List.of("router-1", "router-2")) {
				openStreams(fleet.fleet().router(killed), 8);
			}
			Fleet.await("streams hold memory", Duration.ofSeconds(5), () -> fleet.usedPieces() >= 16);
			fleet.fleet().router("router-1").process().kill();
			fleet.fleet().router("router-2").process().kill();
			Fleet.await("memory is released after both were killed", RELEASE_TARGET, () -> fleet.usedPieces() == 0);
		}
	}

	@Test
	@Tag("proof")
	void answersAreCompleteWhenEnginesAreKilled() {
		try (ModelFleet fleet = new ModelFleet(2, 3, 6, Map.of())) {
			List<CompletableFuture<String>> answers = new ArrayList<>();
			for (int wave = 0; wave < 4; wave++) {
				int first = wave * 40;
				IntStream.range(first, first + 40)
					.forEach((number) -> answers
						.add(fleet.send(fleet.fleet().router("router-" + (1 + number % 2)), prompt(number))));
				ModelFleet.pause(400);
				if (wave < 3) {
					fleet.fleet().standIn("decode-" + (wave + 1)).kill();
				}
				if (wave == 1) {
					fleet.fleet().standIn("prefill-1").kill();
				}
			}
			for (int number = 0; number < answers.size(); number++) {
				assertThat(answers.get(number).join()).as("answer %d", number)
					.isEqualTo("200 " + Prompt.parse(prompt(number)).answer(ModelFleet.MAX_TOKENS));
			}
		}
	}

	private static String prompt(int number) {
		return "letter " + number + " " + "wax ".repeat(number % 50);
	}

	@Test
	@Tag("proof")
	void rollingRestartUnderLoadFailsNoRequest() {
		try (ModelFleet fleet = new ModelFleet(3, 2, 3, Map.of("edge.balancer_notice_millis", "400"))) {
			List<CompletableFuture<String>> answers = new ArrayList<>();
			int number = 0;
			for (String restarted : List.of("router-1", "router-2", "router-3")) {
				RouterProcess old = fleet.fleet().router(restarted);
				old.process().terminate();
				long endNanos = System.nanoTime() + 2_000_000_000L;
				while (System.nanoTime() - endNanos < 0) {
					String wanted = "router-" + (1 + number % 3);
					RouterProcess target = fleet.fleet().router(wanted);
					// The load balancer sends no requests to a router that is not ready.
					if (fleet.fleet().http().get(target.adminUrl("/ready")).status() == 200) {
						answers.add(fleet.send(target, prompt(answers.size())));
					}
					number++;
					ModelFleet.pause(25);
				}
				assertThat(old.process().awaitExit(Duration.ofSeconds(20))).isIn(0, 143);
				RouterProcess fresh = fleet.fleet().restartRouter(restarted);
				Fleet.await("the restarted router is ready", Duration.ofSeconds(10),
						() -> fleet.send(fresh, "warm up").join().startsWith("200 "));
			}
			assertThat(answers).hasSizeGreaterThan(50);
			for (int index = 0; index < answers.size(); index++) {
				assertThat(answers.get(index).join()).as("answer %d", index)
					.isEqualTo("200 " + Prompt.parse(prompt(index)).answer(ModelFleet.MAX_TOKENS));
			}
		}
	}

	@Test
	@Tag("proof")
	void requestThatCrashesEnginesIsQuarantinedAndOthersAreAnswered() {
		try (ModelFleet fleet = new ModelFleet(2, 2, 5, Map.of())) {
			fleet.engines()
				.stream()
				.filter((engine) -> engine.startsWith("decode"))
				.forEach((engine) -> fleet.fleet().faults(engine, new JsonObject().put("crashMarker", "smash")));
			List<CompletableFuture<String>> others = new ArrayList<>();
			IntStream.range(0, 30)
				.forEach((number) -> others
					.add(fleet.send(fleet.fleet().router("router-" + (1 + number % 2)), prompt(number))));
			ModelFleet.pause(150);
			String crashing = fleet.send(fleet.fleet().router("router-1"), "letter smash").join();
			assertThat(crashing).contains("quarantined");
			Fleet.await("the other router refuses the request as well", Duration.ofSeconds(2),
					() -> fleet.send(fleet.fleet().router("router-2"), "letter smash").join().startsWith("422 "));
			for (int number = 0; number < others.size(); number++) {
				assertThat(others.get(number).join()).as("answer %d", number)
					.isEqualTo("200 " + Prompt.parse(prompt(number)).answer(ModelFleet.MAX_TOKENS));
			}
			long dead = fleet.engines().stream().filter((engine) -> !fleet.fleet().standIn(engine).alive()).count();
			assertThat(dead).isLessThanOrEqualTo(3);
		}
	}

	@Test
	@Tag("proof")
	void promptPrefixThatCrashesEnginesIsRefusedInDifferentRequests() {
		try (ModelFleet fleet = new ModelFleet(2, 6, 2, Map.of())) {
			fleet.engines()
				.stream()
				.filter((engine) -> engine.startsWith("prefill"))
				.forEach((engine) -> fleet.fleet().faults(engine, new JsonObject().put("crashMarker", "smash")));
			String prefix = "smash " + "wax ".repeat(300);
			for (int number = 0; number < 4; number++) {
				fleet.send(fleet.fleet().router("router-" + (1 + number % 2)), prefix + "letter " + number).join();
			}
			Fleet.await("both routers refuse another request with the prefix", Duration.ofSeconds(3),
					() -> IntStream.rangeClosed(1, 2)
						.allMatch((router) -> fleet
							.send(fleet.fleet().router("router-" + router), prefix + "further letter " + router)
							.join()
							.startsWith("422 ")));
			long dead = fleet.engines().stream().filter((engine) -> !fleet.fleet().standIn(engine).alive()).count();
			// The platform requires a reaction once five servers have crashed.
			assertThat(dead).isLessThanOrEqualTo(5);
			assertThat(fleet.send(fleet.fleet().router("router-1"), prompt(1)).join()).startsWith("200 ");
		}
	}

}
