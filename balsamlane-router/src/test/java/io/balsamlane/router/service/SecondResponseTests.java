package io.balsamlane.router.service;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.routing.Route;
import io.balsamlane.router.http.StutteringServer;
import io.balsamlane.router.http.StutteringServer.Fault;
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
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a caller of a plain service that receives the response to an earlier
 * call, because the replica responded to that call a second time.
 */
class SecondResponseTests {

	private static final int CALLS = 4;

	private final AtomicInteger requests = new AtomicInteger();

	private StutteringServer server;

	private RecordWriterService writers;

	private HttpClientAgent caller;

	private int port;

	@BeforeEach
	void start() throws Exception {
		this.server = StutteringServer.start((vertx) -> new PlainServiceStandIn(vertx, 0, "ledger-1", 1));
		this.caller = this.server.vertx().createHttpClient();
		int storePort = this.server.call(() -> new PlatformStoreStandIn(this.server.vertx(), 0).start());
		Settings settings = Settings.newBuilder()
			.setNode(NodeSettings.newBuilder().setHost("router-1"))
			.setStore(StoreSettings.newBuilder()
				.setUrl("http://127.0.0.1:" + storePort)
				.setCallTimeoutMillis(1000)
				.setRetryPauseMillis(100))
			.setRecords(RecordSettings.newBuilder()
				.setShards(4)
				.setCommitPauseMillis(5)
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
				HttpPlatformStore.create(this.server.vertx(), settings.getStore()));
		this.writers.start();
		ServiceCallHandler handler = ServiceCallHandler.create(this.server.vertx(), settings,
				FleetIntentService.create(this.server.vertx(), network, settings.getRecords()),
				Timeline.create("router-1", 1000, System::currentTimeMillis));
		PlainService service = PlainService.newBuilder().setName("ledger").addRepeatable("POST /search").build();
		BackendServer replica = new BackendServer(ServerName.of("ledger-1"), BackendServer.Kind.SERVICE, "ledger",
				Place.of("doto-a"), "doto", this.server.endpoint(), false);
		Route.ToService route = new Route.ToService(List.of(replica), service, Selector.getDefaultInstance());
		this.port = this.server
			.call(() -> this.server.vertx()
				.createHttpServer()
				.requestHandler((request) -> handler.handle(request, "request-" + this.requests.incrementAndGet(),
						"donan", route, request.uri()))
				.listen(0, "127.0.0.1"))
			.actualPort();
	}

	@AfterEach
	void stop() throws Exception {
		this.writers.stop();
		this.server.close();
	}

	static Stream<Fault> faults() {
		return StutteringServer.faults();
	}

	private CallAnswer send(String path, String key) throws Exception {
		return this.server.call(() -> this.caller.request(HttpMethod.POST, this.port, "127.0.0.1", path)
			.compose((request) -> request.putHeader("Idempotency-Key", key).send(Buffer.buffer(key)))
			.compose((response) -> response.body().map((body) -> new CallAnswer(response.statusCode(), body))));
	}

	private void assertOwnAnswer(CallAnswer answer, String path, int number, String key) {
		assertThat(answer.status()).isEqualTo(200);
		JsonObject body = answer.body().toJsonObject();
		assertThat(body.getString("path")).isEqualTo(path);
		assertThat(body.getString("requestId")).isEqualTo("request-" + number);
		assertThat(body.getString("idempotencyKey")).isEqualTo(key);
		assertThat(body.getInteger("run")).isEqualTo(number);
	}

	private List<String> executedPaths() throws Exception {
		return this.server
			.call(() -> this.caller
				.request(HttpMethod.GET, this.server.direct().port(), "127.0.0.1", "/stand-in/ledger")
				.compose(HttpClientRequest::send)
				.compose((response) -> response.body()))
			.toJsonArray()
			.stream()
			.map((entry) -> ((JsonObject) entry).getString("path"))
			.toList();
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextCall(Fault fault) throws Exception {
		callsReceiveTheirOwnAnswers(fault, "/search/");
	}

	@ParameterizedTest
	@MethodSource("faults")
	void lateSecondResponseIsNotTakenForResponseToNextNonRepeatableCall(Fault fault) throws Exception {
		callsReceiveTheirOwnAnswers(fault, "/pickups/");
	}

	private void callsReceiveTheirOwnAnswers(Fault fault, String prefix) throws Exception {
		this.server.stutter(fault);
		for (int number = 1; number <= CALLS; number++) {
			assertOwnAnswer(send(prefix + number, "key-" + number), prefix + number, number, "key-" + number);
		}
		assertThat(executedPaths()).containsExactly(prefix + 1, prefix + 2, prefix + 3, prefix + 4);
		this.server.assertStuttered(fault);
	}

	@Test
	void sequentialCallsShareOneConnection() throws Exception {
		for (int number = 1; number <= 10; number += 2) {
			assertOwnAnswer(send("/search", "key-" + number), "/search", number, "key-" + number);
			assertOwnAnswer(send("/pickups", "key-" + (number + 1)), "/pickups", number + 1, "key-" + (number + 1));
		}
		assertThat(this.server.connections()).isEqualTo(1);
	}

	private record CallAnswer(int status, Buffer body) {
	}

}
