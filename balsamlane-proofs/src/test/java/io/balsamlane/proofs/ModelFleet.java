package io.balsamlane.proofs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonObject;

/**
 * Starts a fleet that serves one model with prefill and decode engines, and sends
 * requests of callers to it.
 */
final class ModelFleet implements AutoCloseable {

	static final int MAX_TOKENS = 70;

	private static final String OBJECTS = """
			[pool draft-prefill]
			role = prefill
			model = draft-service
			place = doto-a
			[pool draft-decode]
			role = decode
			model = draft-service
			place = doto-a
			[selector everything]
			cross_region = true
			first_token_millis = 20000
			""";

	private final Fleet fleet = Fleet.create(100);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final List<String> engines;

	ModelFleet(int routers, int prefill, int decode, Map<String, String> settings) {
		this.engines = Stream
			.concat(IntStream.rangeClosed(1, prefill).mapToObj((number) -> "prefill-" + number),
					IntStream.rangeClosed(1, decode).mapToObj((number) -> "decode-" + number))
			.toList();
		this.engines.forEach((engine) -> this.fleet.engine(engine, "draft-" + engine.substring(0, engine.indexOf('-')),
				"doto-a", "doto"));
		IntStream.rangeClosed(1, routers)
			.forEach((number) -> this.fleet.router("router-" + number, "doto-a", "doto", settings));
		this.fleet.apply(OBJECTS);
		this.fleet.routers()
			.forEach((router) -> Fleet.await("the model is reachable through the router", Duration.ofSeconds(10),
					() -> send(router, "warm up").join().startsWith("200 ")));
	}

	Fleet fleet() {
		return this.fleet;
	}

	List<String> engines() {
		return this.engines;
	}

	static HttpRequest request(RouterProcess router, String prompt) {
		JsonObject body = new JsonObject().put("model", "draft-service")
			.put("prompt", prompt)
			.put("max_tokens", MAX_TOKENS)
			.put("stream", true);
		return HttpRequest.newBuilder(URI.create(router.callerUrl("/v1/completions")))
			.timeout(Duration.ofSeconds(40))
			.POST(HttpRequest.BodyPublishers.ofString(body.encode()))
			.build();
	}

	/**
	 * Send a streaming completion request.
	 * @param router the router that receives the request
	 * @param prompt the prompt
	 * @return the status code, a space, and the text of a complete stream or the whole
	 * body of any other answer; status code 0 and the cause if the request failed
	 */
	CompletableFuture<String> send(RouterProcess router, String prompt) {
		return this.client.sendAsync(request(router, prompt), HttpResponse.BodyHandlers.ofString())
			.thenApply((response) -> response.statusCode() + " " + text(response.body()))
			.exceptionally((cause) -> "0 " + cause);
	}

	private static String text(String events) {
		if (!events.endsWith("data: [DONE]\n\n")) {
			return events;
		}
		return events.lines()
			.filter((line) -> line.startsWith("data: {"))
			.map((line) -> new JsonObject(line.substring(6)))
			.map((event) -> event.getJsonArray("choices").getJsonObject(0).getString("text"))
			.collect(Collectors.joining());
	}

	/**
	 * Count the pieces of memory that all running engines hold.
	 * @return the number of pieces
	 */
	int usedPieces() {
		return this.engines.stream()
			.filter((engine) -> this.fleet.standIn(engine).alive())
			.mapToInt((engine) -> new JsonObject(this.fleet.inspect(engine, "state")).getInteger("usedPieces"))
			.sum();
	}

	static void pause(int millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new UncheckedIOException(new IOException(ex));
		}
	}

	@Override
	public void close() {
		this.fleet.close();
	}

}
