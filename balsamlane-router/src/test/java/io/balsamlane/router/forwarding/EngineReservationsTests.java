package io.balsamlane.router.forwarding;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.balsamlane.core.forwarding.AdmissionLimits;
import io.balsamlane.core.forwarding.EngineRates;
import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.FleetRoles;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.overload.CustomerUsage;
import io.balsamlane.router.peer.LoopbackNetworks;
import io.balsamlane.router.peer.PeerNetwork;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EngineReservations} under a load peak in a large fleet, in which many
 * routers see the same free capacity of an engine simultaneously. No prefill may be
 * started for an engine without free capacity, and no request may wait for an unreachable
 * collector.
 */
class EngineReservationsTests {

	private static final int ENGINE_STREAMS = 7;

	private static final long KV_TOKENS = 3700;

	private static final AdmissionLimits LIMITS = new AdmissionLimits(ENGINE_STREAMS * KV_TOKENS, 24);

	private static final ListedServer ENGINE = new ListedServer(new BackendServer(ServerName.of("engine"),
			BackendServer.Kind.ENGINE, "notes", Place.of("place"), "region", Endpoint.of("127.0.0.1", 8080), false),
			EngineStage.DECODE, 24, 1);

	private final Vertx vertx = Vertx.vertx();

	private final List<Member> members = IntStream.range(0, routers())
		.mapToObj((number) -> new Member(HostName.of("host-" + number), 1, Place.of("place"),
				Endpoint.of("127.0.0.1", 1 + number)))
		.toList();

	private final LoopbackNetworks networks = new LoopbackNetworks(this.vertx, this.members);

	private final Map<HostName, SharedLoadPlacement> placements = new HashMap<>();

	private final Map<HostName, EngineReservations> reservations = new HashMap<>();

	private final HostName collector = FleetRoles
		.of(new MemberView(this.members.get(0), this.members), (place) -> "region")
		.collectorOf("region")
		.orElseThrow();

	int routers() {
		return 30;
	}

	@BeforeEach
	void start() throws Exception {
		onLoop(() -> this.members.forEach((member) -> {
			FleetRoles roles = FleetRoles.of(new MemberView(member, this.members), (place) -> "region");
			PeerNetwork network = this.networks.of(member);
			SharedLoadPlacement placement = SharedLoadPlacement.create(new EngineRates(33.3, 2.3, 10, 3, 42, 60, 25),
					"region", "place", RandomSource.XO_RO_SHI_RO_128_PP.create(1));
			this.placements.put(member.host(), placement);
			this.reservations.put(member.host(), EngineReservations.create(network, placement, () -> roles,
					DecisionLog.create(member.host().value(), new PrintStream(PrintStream.nullOutputStream()))));
			WorkReporter.create(this.vertx, network, placement, CustomerUsage.create(), () -> roles).start();
		}));
	}

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void onLoop(Runnable action) throws Exception {
		Promise<Void> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			action.run();
			done.complete();
		});
		done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	// Every router except the collector requests capacity for one stream.
	private List<Boolean> reserveFromAllRouters() throws Exception {
		List<Boolean> granted = new CopyOnWriteArrayList<>();
		Promise<Void> done = Promise.promise();
		onLoop(() -> Future
			.all(this.members.stream()
				.map(Member::host)
				.filter((host) -> !host.equals(this.collector))
				.map((host) -> reserve(host).onSuccess(granted::add))
				.collect(Collectors.toList()))
			.onComplete((all) -> done.complete()));
		done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
		return granted;
	}

	private Future<Boolean> reserve(HostName host) {
		SharedLoadPlacement.Assignment assignment = this.placements.get(host).assign(ENGINE, 0, KV_TOKENS);
		return this.reservations.get(host).confirm("request", ENGINE, LIMITS, KV_TOKENS).onSuccess((granted) -> {
			if (!granted) {
				assignment.end();
			}
		});
	}

	@Test
	void grantsNoMoreThanCapacityThatAllRoutersSeeAsFree() throws Exception {
		assertThat(reserveFromAllRouters().stream().filter(Boolean::booleanValue)).hasSize(ENGINE_STREAMS);
		// Once the reports include the streams, their capacity is neither free again nor
		// counted twice.
		Thread.sleep(1500);
		assertThat(reserveFromAllRouters()).containsOnly(false);
		onLoop(() -> assertThat(this.placements.get(this.collector).work(ENGINE.name(), System.nanoTime()).requests())
			.isEqualTo(ENGINE_STREAMS));
	}

	@Test
	void deniedRouterSeesEngineAtCapacity() throws Exception {
		reserveFromAllRouters();
		Thread.sleep(500);
		reserveFromAllRouters();
		onLoop(() -> this.placements.values()
			.forEach((
					placement) -> assertThat(LIMITS.admits(placement.work(ENGINE.name(), System.nanoTime()), KV_TOKENS))
						.isFalse()));
	}

	@Test
	void unreachableCollectorDoesNotDelayRequests() throws Exception {
		this.networks.isolate(this.collector);
		long startedNanos = System.nanoTime();
		assertThat(reserveFromAllRouters()).containsOnly(true);
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)).isLessThan(900);
	}

}
