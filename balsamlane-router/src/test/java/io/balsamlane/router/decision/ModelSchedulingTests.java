package io.balsamlane.router.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.routing.Route;
import io.balsamlane.core.routing.RouteTable;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.SchedulingSettings;
import io.balsamlane.schema.Selector;
import io.balsamlane.schema.Settings;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the protocol between entry routers and schedulers when routers do not respond,
 * fail or are replaced.
 */
class ModelSchedulingTests {

	private static final List<String> PLACES = List.of("near", "far");

	private final Vertx vertx = Vertx.vertx();

	private final List<ModelScheduling> started = new ArrayList<>();

	private List<InMemoryPeerNetwork> networks = List.of();

	@AfterEach
	void stop() {
		this.started.forEach(ModelScheduling::stop);
		this.vertx.close().toCompletionStage().toCompletableFuture().orTimeout(10, TimeUnit.SECONDS).join();
	}

	private void start(Configuration configuration, String... places) {
		this.networks = InMemoryPeerNetwork.create(places);
		this.networks.forEach((network) -> {
			Settings settings = Settings.newBuilder()
				.setNode(NodeSettings.newBuilder()
					.setHost(network.host().value())
					.setPlace(network.members().self().place().value())
					.setRegion("region-" + network.members().self().place().value()))
				.setScheduling(SchedulingSettings.newBuilder()
					.setPolicy("scheduler")
					.setPieceTokens(2048)
					.setMaxQueued(64)
					.setFirstTokenMillis(1100)
					.setBetweenTokensMillis(35)
					.setAnswerMillis(200)
					.setRenewMillis(100)
					.setObserveMillis(10_000))
				.build();
			ModelScheduling scheduling = ModelScheduling.create(this.vertx, network, settings);
			scheduling.setTopology(configuration, hosts());
			scheduling.start();
			this.started.add(scheduling);
		});
	}

	private static HostList hosts() {
		return new HostList(PLACES.stream()
			.flatMap((place) -> Stream.of("prefill", "decode")
				.flatMap((role) -> IntStream.range(0, 2)
					.mapToObj((i) -> new BackendServer(ServerName.of(role + "-" + place + "-" + i),
							BackendServer.Kind.ENGINE, role + "-" + place, Place.of(place), "region-" + place,
							Endpoint.of("127.0.0.1", 1), false))))
			.toList(), List.of());
	}

	private static Configuration configuration(boolean crossRegion) {
		Configuration.Builder configuration = Configuration.newBuilder().setRevision(1);
		PLACES.forEach((place) -> {
			configuration.addPools(pool("prefill-" + place, EngineRole.PREFILL, place));
			configuration.addPools(pool("decode-" + place, EngineRole.DECODE, place));
		});
		return configuration.addSelectors(Selector.newBuilder().setName("all").setCrossRegion(crossRegion)).build();
	}

	private static Pool pool(String name, EngineRole role, String place) {
		return Pool.newBuilder().setName(name).setRole(role).setModel("model").setPlace(place).build();
	}

	private GrantReply requestGrant(int router, String id, int promptTokens) {
		InMemoryPeerNetwork network = this.networks.get(router);
		String place = network.members().self().place().value();
		Route route = RouteTable.of(configuration(this.crossRegion), hosts(), Place.of(place), "region-" + place)
			.modelRoute(Caller.getDefaultInstance(), "model");
		GrantRequest request = GrantRequest.newBuilder()
			.setRequestId(id)
			.setAttempt(1)
			.setCaller("caller")
			.setModel("model")
			.setPromptTokens(promptTokens)
			.setMaxTokens(50)
			.setFirstTokenRemainingMillis(1100)
			.build();
		return this.started.get(router)
			.grants()
			.request(request, (Route.ToEngines) route)
			.toCompletionStage()
			.toCompletableFuture()
			.orTimeout(10, TimeUnit.SECONDS)
			.join();
	}

	private boolean crossRegion;

	private void release(int router, String id) {
		this.started.get(router)
			.grants()
			.update(GrantUpdate.newBuilder().setRequestId(id).setAttempt(1).setKind(GrantUpdate.Kind.RELEASED).build());
	}

	private long liveGrants(int router) {
		return this.started.get(router).schedulerService().liveGrants();
	}

	private long totalLiveGrants() {
		return IntStream.range(0, this.started.size()).mapToLong((i) -> liveGrants(i)).sum();
	}

	private static void await(BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + 10_000_000_000L;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("waiting for a condition").isLessThan(deadlineNanos);
			Thread.onSpinWait();
		}
	}

	private int owner() {
		return IntStream.range(0, this.networks.size()).filter((i) -> liveGrants(i) > 0).findFirst().orElseThrow();
	}

	@Test
	void routersShareOneSchedulerAndReleasesEndItsGrants() {
		start(configuration(false), "near", "near", "near");
		IntStream.range(0, 6).forEach((i) -> {
			GrantReply reply = requestGrant(i % 3, "r" + i, 500);
			assertThat(reply.getGranted()).as("reply %s", reply).isTrue();
		});
		await(() -> totalLiveGrants() == 6);
		assertThat(IntStream.range(0, 3).filter((i) -> liveGrants(i) > 0).count()).isEqualTo(1);
		IntStream.range(0, 6).forEach((i) -> release(i % 3, "r" + i));
		await(() -> totalLiveGrants() == 0);
	}

	@Test
	void unresponsiveSchedulerIsBypassedAndLaterReceivesTheLocalGrant() {
		start(configuration(false), "near", "near", "near");
		requestGrant(0, "first", 500);
		await(() -> totalLiveGrants() == 1);
		int owner = owner();
		int entry = (owner + 1) % 3;
		this.networks.get(owner).unresponsive = true;
		long before = this.started.get(entry).domainGrantService().fallbackCount();
		GrantReply local = requestGrant(entry, "alone", 500);
		assertThat(local.getGranted()).isTrue();
		assertThat(this.started.get(entry).domainGrantService().fallbackCount()).isEqualTo(before + 1);
		this.networks.get(owner).unresponsive = false;
		await(() -> liveGrants(owner) == 2);
	}

	@Test
	void newSchedulerCollectsLiveGrantsFirst() {
		start(configuration(false), "near", "near", "near");
		IntStream.range(0, 4).forEach((i) -> requestGrant(i % 3, "r" + i, 500));
		await(() -> totalLiveGrants() == 4);
		int failedOwner = owner();
		this.networks.get(failedOwner).unresponsive = true;
		List<InMemoryPeerNetwork> alive = this.networks.stream().filter((network) -> !network.unresponsive).toList();
		alive.forEach((network) -> network.setMembers(alive));
		int entry = (failedOwner + 1) % 3;
		assertThat(requestGrant(entry, "next", 500).getGranted()).isTrue();
		long grantsOfFailedOwner = IntStream.range(0, 4).filter((i) -> i % 3 == failedOwner).count();
		await(() -> IntStream.range(0, 3).filter((i) -> i != failedOwner).mapToLong((i) -> liveGrants(i)).sum() == 5
				- grantsOfFailedOwner);
	}

	@Test
	void otherRegionIsUsedOnlyIfSelectorAllowsItAndDeadlineRequiresIt() {
		this.crossRegion = true;
		start(configuration(true), "near", "far");
		assertThat(requestGrant(0, "near", 500).getDecodeServer()).startsWith("decode-near");
		assertThat(this.started.get(0).domainGrantService().crossRegionBytes()).isZero();
		List<GrantReply> replies = IntStream.range(0, 6).mapToObj((i) -> requestGrant(0, "r" + i, 8000)).toList();
		assertThat(replies).filteredOn(GrantReply::getGranted)
			.extracting(GrantReply::getDecodeServer)
			.anyMatch((server) -> server.startsWith("decode-far"));
		assertThat(this.started.get(0).domainGrantService().crossRegionBytes()).isPositive();
		this.crossRegion = false;
		assertThat(requestGrant(0, "kept", 8000).getRefusalKind()).isEqualTo("deadline");
	}

	@Test
	void fullQueueRejectsTasks() {
		DecisionThread thread = DecisionThread.create(4);
		CountDownLatch ran = new CountDownLatch(4);
		IntStream.range(0, 4).forEach((i) -> assertThat(thread.submit(ran::countDown)).isTrue());
		assertThat(thread.submit(ran::countDown)).isFalse();
		thread.start(() -> {
		});
		await(() -> ran.getCount() == 0);
		thread.stop();
	}

}
