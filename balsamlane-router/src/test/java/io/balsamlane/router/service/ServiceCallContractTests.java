package io.balsamlane.router.service;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.Stream;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.routing.Route;
import io.balsamlane.router.peer.StandalonePeerNetwork;
import io.balsamlane.router.records.FleetIntentService;
import io.balsamlane.router.records.RecordWriterService;
import io.balsamlane.router.store.HttpPlatformStore;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.RecordSettings;
import io.balsamlane.schema.Selector;
import io.balsamlane.schema.ServiceSettings;
import io.balsamlane.schema.Settings;
import io.balsamlane.schema.StoreSettings;
import io.balsamlane.standin.service.PlainServiceStandIn;
import io.balsamlane.standin.store.PlatformStoreStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that a call receives the correct answer, and that a non-repeatable call runs at
 * most once, when a plain service or the platform store fails.
 */
class ServiceCallContractTests {

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private RecordWriterService writers;

	private int storePort;

	private int servicePort;

	private int port;

	@BeforeEach
	void start() {
		this.storePort = await(new PlatformStoreStandIn(this.vertx, 0).start());
		this.servicePort = await(new PlainServiceStandIn(this.vertx, 0, "ledger-1", 5).start());
		Settings settings = Settings.newBuilder()
			.setNode(NodeSettings.newBuilder().setHost("router-1"))
			.setStore(StoreSettings.newBuilder()
				.setUrl("http://127.0.0.1:" + this.storePort)
				.setCallTimeoutMillis(1000)
				.setRetryPauseMillis(100))
			.setRecords(RecordSettings.newBuilder()
				.setShards(4)
				.setCommitPauseMillis(20)
				.setRetentionSeconds(60)
				.setMaxAnswerBytes(8192)
				.setDecisionTimeoutMillis(5000)
				.setOutcomeWaitMillis(300))
			.setService(ServiceSettings.newBuilder()
				.setCallTimeoutMillis(5000)
				.setProgressTimeoutMillis(1000)
				.setKeptBodyBytes(1024)
				.setConnectTimeoutMillis(500))
			.build();
		Member self = new Member(HostName.of("router-1"), 1, Place.of("doto-a"), Endpoint.of("127.0.0.1", 1));
		StandalonePeerNetwork network = StandalonePeerNetwork.create(self);
		this.writers = RecordWriterService.create(settings, network,
				HttpPlatformStore.create(this.vertx, settings.getStore()));
		this.writers.start();
		ServiceCallHandler handler = ServiceCallHandler.create(this.vertx, settings,
				FleetIntentService.create(this.vertx, network, settings.getRecords()),
				Timeline.create("router-1", 1000, System::currentTimeMillis));
		PlainService service = PlainService.newBuilder().setName("ledger").addRepeatable("POST /search").build();
		BackendServer replica = new BackendServer(ServerName.of("ledger-1"), BackendServer.Kind.SERVICE, "ledger",
				Place.of("doto-a"), "doto", Endpoint.of("127.0.0.1", this.servicePort), false);
		Route.ToService route = new Route.ToService(List.of(replica), service, Selector.getDefaultInstance());
		this.port = await(this.vertx.createHttpServer()
			.requestHandler((request) -> handler.handle(request, "request-1", "donan", route, request.uri()))
			.listen(0, "127.0.0.1")).actualPort();
	}

	@AfterEach
	void stop() {
		this.writers.stop();
		await(this.vertx.close());
	}

	static Stream<FaultCase> cases() {
		JsonObject none = new JsonObject();
		return Stream.of(new FaultCase("no fault", none, none, 200, null, 1, 200),
				new FaultCase("answer lost", new JsonObject().put("loseAnswers", 1), none, 502, "unknown", 1, 409),
				new FaultCase("no progress", new JsonObject().put("frozen", true), none, 502, "unknown", 1, 409),
				new FaultCase("leaving", new JsonObject().put("leaving", true), none, 503, "no", 0, 503),
				new FaultCase("store down", none, new JsonObject().put("down", true), 503, "no", 0, 200),
				new FaultCase("write answer lost", none, new JsonObject().put("loseWriteAnswers", 1), 200, null, 1,
						200),
				new FaultCase("slow store", none, new JsonObject().put("delayMillis", 200), 200, null, 1, 200));
	}

	@ParameterizedTest
	@MethodSource("cases")
	void nonRepeatableCallRunsAtMostOnceUnderFault(FaultCase fault) {
		assertThat(send("/pickups", "key-0", "wax").statusCode()).isEqualTo(200);
		setFaults(this.servicePort, fault.service());
		setFaults(this.storePort, fault.store());
		HttpResponse<String> first = send("/pickups", "key-1", "wax");
		assertThat(first.statusCode()).isEqualTo(fault.status());
		if (fault.ran() != null) {
			assertThat(new JsonObject(first.body()).getString("ran")).isEqualTo(fault.ran());
		}
		assertThat(countRuns("key-1")).isEqualTo(fault.runs());
		setFaults(this.servicePort, new JsonObject().put("frozen", false).put("leaving", false));
		setFaults(this.storePort, new JsonObject().put("down", false).put("delayMillis", 0));
		assertThat(sendUntil("/pickups", "key-1", fault.statusAfterwards())).isEqualTo(fault.statusAfterwards());
		assertThat(countRuns("key-1")).isLessThanOrEqualTo(1);
	}

	@Test
	void idempotencyKeyOfDifferentCallIsRefused() {
		assertThat(send("/pickups", "key-1", "wax").statusCode()).isEqualTo(200);
		assertThat(send("/pickups", "key-1", "chalk").statusCode()).isEqualTo(422);
		assertThat(countRuns("key-1")).isEqualTo(1);
	}

	@Test
	void longBodiesAreForwardedCompletely() {
		String body = "x".repeat(5_000_000);
		assertThat(new JsonObject(send("/search", null, body).body()).getInteger("bodyBytes")).isEqualTo(5_000_000);
		assertThat(new JsonObject(send("/pickups", "key-1", body).body()).getInteger("bodyBytes")).isEqualTo(5_000_000);
		assertThat(send("/pickups", "key-1", body).headers().firstValue("Idempotency-Replayed")).isPresent();
	}

	@Test
	@Timeout(40)
	void callerThatSendsWholeBodyBeforeReadingReceivesReplayedAnswer() {
		// Exceeds the capacity of the buffers of a connection.
		String body = "x".repeat(30_000_000);
		send("/pickups", "key-1", body);
		assertThat(send("/pickups", "key-1", body).headers().firstValue("Idempotency-Replayed")).isPresent();
	}

	@Test
	void repeatableCallIsRetriedWhenItsAnswerIsLost() {
		setFaults(this.servicePort, new JsonObject().put("loseAnswers", 1));
		assertThat(send("/search", null, "wax").statusCode()).isEqualTo(200);
	}

	private int sendUntil(String path, String key, int status) {
		long deadlineNanos = System.nanoTime() + 5_000_000_000L;
		int last = send(path, key, "wax").statusCode();
		while (last != status && System.nanoTime() - deadlineNanos < 0) {
			last = send(path, key, "wax").statusCode();
		}
		return last;
	}

	private HttpResponse<String> send(String path, String key, String body) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.port + path))
			.POST(HttpRequest.BodyPublishers.ofString(body));
		if (key != null) {
			request.header("Idempotency-Key", key);
		}
		return exchange(request.build());
	}

	private HttpResponse<String> exchange(HttpRequest request) {
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (java.io.IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void setFaults(int standInPort, JsonObject faults) {
		exchange(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + standInPort + "/stand-in/faults"))
			.POST(HttpRequest.BodyPublishers.ofString(faults.encode()))
			.build());
	}

	private long countRuns(String key) {
		String ledger = exchange(
				HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.servicePort + "/stand-in/ledger")).build())
			.body();
		return new JsonArray(ledger).stream()
			.filter((entry) -> key.equals(((JsonObject) entry).getString("idempotencyKey")))
			.count();
	}

	private static <T> T await(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

	record FaultCase(String name, JsonObject service, JsonObject store, int status, String ran, int runs,
			int statusAfterwards) {
	}

}
