package io.balsamlane.router.admin;

import java.util.concurrent.TimeUnit;

import io.balsamlane.router.RouterDaemon;
import io.balsamlane.router.settings.SettingsLoader;
import io.balsamlane.router.settings.SettingsResult;
import io.balsamlane.schema.Settings;
import io.balsamlane.standin.hosts.HostListStandIn;
import io.balsamlane.standin.store.PlatformStoreStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract tests of the operator port. They guard against an operator port that serves
 * unauthenticated clients, accepts bodies of unlimited size, or returns an error without
 * a stable kind and a remedy.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorPortContractTests {

	private static final String POOL = "{\"kind\":\"POOL\",\"name\":\"p\",\"expectedRevision\":%d,"
			+ "\"pool\":{\"role\":\"DECODE\",\"model\":\"m\",\"place\":\"doto-a\"}}";

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = this.vertx.createHttpClient();

	private int storePort;

	private RouterDaemon daemon;

	private int port;

	@BeforeAll
	void start() {
		this.storePort = await(new PlatformStoreStandIn(this.vertx, 0).start());
		int hostsPort = await(new HostListStandIn(this.vertx, 0, 1, new JsonArray()).start());
		SettingsResult.Loaded loaded = (SettingsResult.Loaded) SettingsLoader.parse("router.ini", """
				[node]
				host = router-1
				place = doto-a
				region = doto
				[store]
				url = http://127.0.0.1:%d
				call_timeout_millis = 300
				[hosts]
				url = http://127.0.0.1:%d/v1/hosts
				[edge]
				port = 0
				admin_port = 0
				balancer_notice_millis = 0
				[peer]
				port = 0
				key = new-key
				previous_key = old-key
				""".formatted(this.storePort, hostsPort));
		this.daemon = RouterDaemon.create(this.vertx, loaded.settings());
		this.port = await(this.daemon.start()).admin();
	}

	@AfterAll
	void stop() {
		await(this.daemon.stop());
		await(this.vertx.close());
	}

	@ParameterizedTest(name = "{0} {1} with {2}")
	@CsvSource(delimiter = '|', nullValues = "-",
			textBlock = """
					GET  | /live                           | -              | -                 | 200 | -
					GET  | /metrics                        | -              | -                 | 200 | -
					GET  | /admin/v1/status                | -              | -                 | 401 | wrong-key
					GET  | /admin/v1/status                | Bearer new-ke  | -                 | 401 | wrong-key
					GET  | /admin/v1/status                | Bearer         | -                 | 401 | wrong-key
					GET  | /admin/v1/status                | Basic new-key  | -                 | 401 | wrong-key
					POST | /admin/v1/drain                 | Bearer guess   | {}                | 401 | wrong-key
					GET  | /admin/v1/status                | Bearer new-key | -                 | 200 | -
					GET  | /admin/v1/status                | Bearer old-key | -                 | 200 | -
					GET  | /admin/v1/configuration         | Bearer new-key | -                 | 200 | -
					GET  | /admin/v1/unknown               | Bearer new-key | -                 | 404 | unknown-path
					POST | /admin/v1/status                | Bearer new-key | {}                | 405 | wrong-method
					GET  | /admin/v1/changes               | Bearer new-key | -                 | 405 | wrong-method
					GET  | /admin/v1/drain                 | Bearer new-key | -                 | 405 | wrong-method
					POST | /admin/v1/changes               | Bearer new-key | not json          | 400 | malformed-change
					POST | /admin/v1/changes               | Bearer new-key | {"colour":"red"}  | 400 | malformed-change
					POST | /admin/v1/changes               | Bearer new-key | {}                | 400 | malformed-change
					POST | /admin/v1/preview               | Bearer new-key | [                 | 400 | malformed-change
					POST | /admin/v1/changes               | Bearer new-key | {"changeId":"i","objects":[{"kind":"POOL","name":"x","pool":{}}]} | 422 | invalid
					GET  | /admin/v1/events?revision=soon  | Bearer new-key | -                 | 400 | malformed-query
					GET  | /admin/v1/events?revision=1     | Bearer new-key | -                 | 200 | -
					GET  | /admin/v1/explain               | Bearer new-key | -                 | 400 | malformed-query
					GET  | /admin/v1/explain?model=a&caller=nobody | Bearer new-key | -         | 404 | unknown-caller
					GET  | /admin/v1/explain?model=a       | Bearer new-key | -                 | 200 | -
					""")
	void returnsStatusAndErrorKind(HttpMethod method, String path, String authorization, String body, int status,
			String kind) {
		Response response = send(method, path, authorization, (body != null) ? body : "");
		assertThat(response.status()).as(response.body()).isEqualTo(status);
		if (status >= 400) {
			assertThat(new JsonObject(response.body()).getString("kind")).isEqualTo(kind);
			assertThat(new JsonObject(response.body()).getString("remedy")).isNotBlank();
		}
	}

	@Test
	void rejectsOversizedBodyAndServesNextRequest() {
		Response response = send(HttpMethod.POST, "/admin/v1/changes", "Bearer new-key", "x".repeat(3 << 20));
		assertThat(response.status()).isEqualTo(413);
		assertThat(send(HttpMethod.GET, "/admin/v1/status", "Bearer new-key", "").status()).isEqualTo(200);
	}

	@Test
	void acceptsChangeOnceAndRejectsOutdatedRevision() {
		await(setStoreFaults(new JsonObject().put("loseWriteAnswers", 1)));
		Response first = submitPool("first", 0);
		assertThat(first.status()).as(first.body()).isEqualTo(200);
		assertThat(submitPool("first", 0).body()).isEqualTo(first.body());
		Response conflict = submitPool("second", 0);
		assertThat(conflict.status()).isEqualTo(409);
		assertThat(new JsonObject(conflict.body()).getMap()).containsEntry("object", "pool p")
			.containsEntry("actualRevision", new JsonObject(first.body()).getInteger("revision"));
		await(setStoreFaults(new JsonObject().put("down", true)));
		assertThat(submitPool("third", 1).body()).contains("store-unavailable");
		await(setStoreFaults(new JsonObject().put("down", false)));
	}

	@Test
	void listensOnLoopbackOnlyWithoutKey() {
		Settings.Builder settings = Settings.newBuilder();
		settings.getNodeBuilder().setHost("router-2").setPlace("doto-a").setRegion("doto").setAddress("0.0.0.0");
		settings.getEdgeBuilder().setMaxHeaderBytes(16_384);
		AdminServer server = AdminServer.create(this.vertx, settings.build(), this.daemon.adminContext());
		int adminPort = await(server.start());
		assertThat(liveStatus("127.0.0.1", adminPort)).isEqualTo(200);
		assertThat(liveStatus("127.0.0.2", adminPort)).isEqualTo(-1);
		await(server.stop());
	}

	private int liveStatus(String address, int adminPort) {
		return await(this.client.request(new RequestOptions().setHost(address).setPort(adminPort).setURI("/live"))
			.compose((request) -> request.send())
			.map((response) -> response.statusCode())
			.otherwise(-1));
	}

	private Response submitPool(String id, long expected) {
		return send(HttpMethod.POST, "/admin/v1/changes", "Bearer new-key",
				"{\"changeId\":\"" + id + "\",\"objects\":[" + POOL.formatted(expected) + "]}");
	}

	private Future<Buffer> setStoreFaults(JsonObject faults) {
		return this.client.request(HttpMethod.PUT, this.storePort, "127.0.0.1", "/stand-in/faults")
			.compose((request) -> request.send(faults.toBuffer()).compose((response) -> response.body()));
	}

	private Response send(HttpMethod method, String path, String authorization, String body) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost("127.0.0.1")
			.setPort(this.port)
			.setURI(path);
		if (authorization != null) {
			options.putHeader("Authorization", authorization);
		}
		// The calls are nested so that the body handler is registered on the event loop.
		// In a flat chain, this thread would register it and could miss the body.
		return await(this.client.request(options)
			.compose((request) -> request.send(body)
				.compose((response) -> response.body()
					.map((received) -> new Response(response.statusCode(), received.toString())))));
	}

	private static <T> T await(Future<T> future) {
		try {
			return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private record Response(int status, String body) {
	}

}
