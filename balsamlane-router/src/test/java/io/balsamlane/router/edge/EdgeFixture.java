package io.balsamlane.router.edge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.routing.RouteTable;
import io.balsamlane.core.scheduling.EnginePolicy;
import io.balsamlane.router.RouterState;
import io.balsamlane.router.decision.LocalGrantService;
import io.balsamlane.router.engine.ActiveAttempts;
import io.balsamlane.router.engine.EngineCanceller;
import io.balsamlane.router.engine.EngineHealth;
import io.balsamlane.router.engine.HttpEngineClient;
import io.balsamlane.router.peer.StandalonePeerNetwork;
import io.balsamlane.router.records.IntentService;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EdgeSettings;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.EngineSettings;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.SchedulingSettings;
import io.balsamlane.schema.Selector;
import io.balsamlane.schema.Settings;
import io.balsamlane.standin.engine.EngineCapacity;
import io.balsamlane.standin.engine.EngineStandIn;
import io.balsamlane.standin.fleet.FleetHttp;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs a caller server with in-process engine stand-ins.
 */
final class EdgeFixture implements AutoCloseable {

	static final String MODEL = "draft-service";

	private static final int FIRST_REQUEST_TIMEOUT_MILLIS = 10_000;

	private static final long SEED = 7;

	private final Vertx vertx;

	private final FleetHttp control = FleetHttp.create();

	private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();

	private final Map<String, Integer> ports = new LinkedHashMap<>();

	private final List<BackendServer> servers = new ArrayList<>();

	private final Timeline timeline = Timeline.create("router-1", 100_000, System::currentTimeMillis);

	private CallerServer callers;

	private int port;

	private EdgeFixture(int firstRequestTimeoutMillis) {
		this.vertx = FirstRequestTransport.createVertx(firstRequestTimeoutMillis);
	}

	static Settings.Builder settings() {
		return Settings.newBuilder()
			.setNode(NodeSettings.newBuilder()
				.setHost("router-1")
				.setPlace("doto-a")
				.setRegion("doto")
				.setAddress("127.0.0.1"))
			.setScheduling(SchedulingSettings.newBuilder().setFirstTokenMillis(1100).setPieceTokens(2048))
			.setEdge(EdgeSettings.newBuilder()
				.setMaxHeaderBytes(4096)
				.setMaxModelBodyBytes(100_000)
				.setMaxConcurrentRequests(2000)
				.setIdleTimeoutMillis(10_000)
				.setBodyTimeoutMillis(5000)
				.setMaxStreamBufferBytes(100_000))
			.setEngines(EngineSettings.newBuilder()
				.setConnectTimeoutMillis(500)
				.setPrefillProgressMillis(2000)
				.setFirstTokenProgressMillis(1000)
				.setTokenProgressMillis(400)
				.setProbeTimeoutMillis(300)
				.setCancelRetryMillis(50)
				.setCancelLimitMillis(3000)
				.setMaxAttempts(5)
				.setFailuresBeforePause(3)
				.setFailurePauseMillis(5000)
				.setQuarantineSeconds(600));
	}

	EdgeFixture addEngine(String name, EngineRole role) {
		EngineCapacity capacity = new EngineCapacity(400, 2048, 1_000_000, 4000, 20, 800, 1000, 10_000_000_000L, 4096,
				100);
		EngineStandIn engine = new EngineStandIn(this.vertx, 0, name, capacity);
		this.engines.put(name, engine);
		this.ports.put(name, await(engine.start()));
		this.servers.add(new BackendServer(ServerName.of(name), BackendServer.Kind.ENGINE, role.name(),
				Place.of("doto-a"), "doto", Endpoint.of("127.0.0.1", this.ports.get(name)), false));
		return this;
	}

	EdgeFixture start(Settings settings) {
		Configuration configuration = Configuration.newBuilder()
			.setRevision(1)
			.addPools(Pool.newBuilder().setName("PREFILL").setRole(EngineRole.PREFILL).setModel(MODEL))
			.addPools(Pool.newBuilder().setName("DECODE").setRole(EngineRole.DECODE).setModel(MODEL))
			.addSelectors(Selector.newBuilder().setName("all"))
			.build();
		RouterState state = RouterState
			.create(RouteTable.of(configuration, new HostList(this.servers, List.of()), Place.of("doto-a"), "doto"));
		StandalonePeerNetwork network = StandalonePeerNetwork
			.create(new Member(HostName.of("router-1"), 1, Place.of("doto-a"), Endpoint.of("127.0.0.1", 1)));
		Context context = this.vertx.getOrCreateContext();
		HttpEngineClient client = HttpEngineClient.create(this.vertx, settings.getEngines());
		ModelRequestServices services = new ModelRequestServices(context, settings,
				LocalGrantService.create(EnginePolicy.twoChoices(RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)), 2048),
				client, EngineHealth.create(context, client, network, this.timeline, settings.getEngines()),
				EngineCanceller.create(this.vertx, client, settings.getEngines()), ActiveAttempts.create(network),
				this.timeline);
		this.callers = CallerServer.create(services, state, new UnsupportedIntentService(), 1);
		this.port = await(this.callers.start());
		return this;
	}

	static EdgeFixture withEngines(int prefill, int decode) {
		return withEngines(prefill, decode, FIRST_REQUEST_TIMEOUT_MILLIS);
	}

	static EdgeFixture withEngines(int prefill, int decode, int firstRequestTimeoutMillis) {
		EdgeFixture fixture = new EdgeFixture(firstRequestTimeoutMillis);
		for (int index = 1; index <= prefill; index++) {
			fixture.addEngine("prefill-" + index, EngineRole.PREFILL);
		}
		for (int index = 1; index <= decode; index++) {
			fixture.addEngine("decode-" + index, EngineRole.DECODE);
		}
		return fixture;
	}

	int port() {
		return this.port;
	}

	Vertx vertx() {
		return this.vertx;
	}

	CallerServer callers() {
		return this.callers;
	}

	/**
	 * Stop the server of an engine, which closes its connections and refuses new ones.
	 * @param name name of the engine
	 */
	void stopEngine(String name) {
		await(this.engines.get(name).stop());
	}

	void setFaults(String name, JsonObject faults) {
		this.control.send("POST", url(name, "faults"), faults.encode(), Map.of());
	}

	private String url(String name, String what) {
		return "http://127.0.0.1:" + this.ports.get(name) + "/stand-in/" + what;
	}

	int usedPieces() {
		return this.ports.keySet().stream().mapToInt((name) -> state(name, "state").getInteger("usedPieces")).sum();
	}

	String ledger(String name) {
		return state(name, "ledger").getJsonArray("ledger").encode();
	}

	private JsonObject state(String name, String what) {
		return new JsonObject(this.control.get(url(name, what)).body());
	}

	String events(String requestId) {
		return this.timeline.find(EventQuery.newBuilder().setRequestId(requestId).build()).toString();
	}

	static <T> T await(Future<T> future) {
		try {
			return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException | TimeoutException | java.util.concurrent.ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void awaitThat(String what, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + 5_000_000_000L;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadlineNanos > 0) {
				throw new AssertionError("Condition not met within 5 s: " + what);
			}
			sleep(10);
		}
	}

	static void sleep(int millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		await(this.vertx.close());
	}

	private static final class UnsupportedIntentService implements IntentService {

		@Override
		public Future<IntentReply> create(CallRecord record) {
			throw new IllegalStateException("This fixture does not support calls of plain services");
		}

		@Override
		public Future<Boolean> report(CallRecord record) {
			throw new IllegalStateException("This fixture does not support calls of plain services");
		}

	}

}
