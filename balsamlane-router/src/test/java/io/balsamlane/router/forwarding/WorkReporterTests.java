package io.balsamlane.router.forwarding;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.balsamlane.core.forwarding.EngineRates;
import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.EngineWork;
import io.balsamlane.core.forwarding.FleetRoles;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.overload.CustomerUsage;
import io.balsamlane.router.peer.LoopbackNetworks;
import io.balsamlane.router.peer.PeerNetwork;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WorkReporter}, in a small fleet whose routers report to each other and
 * in a large one with collectors: routers must not miss work of others, count it twice,
 * or continue to count work that has ended.
 */
class WorkReporterTests {

	private static final ListedServer ENGINE = new ListedServer(new BackendServer(ServerName.of("engine"),
			BackendServer.Kind.ENGINE, "notes", Place.of("place-0"), "region", Endpoint.of("127.0.0.1", 8080), false),
			EngineStage.DECODE, 64, 1);

	private final Vertx vertx = Vertx.vertx();

	private Map<HostName, SharedLoadPlacement> placements;

	private Map<HostName, CustomerUsage> usages;

	private LoopbackNetworks networks;

	private List<Member> members;

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void start(int routers) throws Exception {
		this.members = IntStream.range(0, routers)
			.mapToObj((number) -> new Member(HostName.of("host-" + number), 1, Place.of("place-" + number % 3),
					Endpoint.of("127.0.0.1", 1 + number)))
			.toList();
		this.networks = new LoopbackNetworks(this.vertx, this.members);
		this.placements = this.members.stream()
			.collect(Collectors.toMap(Member::host,
					(member) -> SharedLoadPlacement.create(new EngineRates(33.3, 2.3, 10, 3, 42, 60, 25),
							member.place().value(), member.place().value(),
							RandomSource.XO_RO_SHI_RO_128_PP.create(1))));
		this.usages = this.members.stream().collect(Collectors.toMap(Member::host, (member) -> CustomerUsage.create()));
		onLoop(() -> this.members.forEach((member) -> {
			FleetRoles roles = FleetRoles.of(new MemberView(member, this.members), Place::value);
			PeerNetwork network = this.networks.of(member);
			WorkReporter
				.create(this.vertx, network, this.placements.get(member.host()), this.usages.get(member.host()),
						() -> roles)
				.start();
		}));
	}

	private void onLoop(Runnable action) throws Exception {
		Promise<Void> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			action.run();
			done.complete();
		});
		done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private boolean allRoutersSee(EngineWork work) {
		boolean[] result = new boolean[1];
		try {
			onLoop(() -> result[0] = this.placements.values()
				.stream()
				.allMatch((placement) -> placement.work(ENGINE.name(), System.nanoTime()).equals(work)));
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
		return result[0];
	}

	private static void await(BooleanSupplier condition, String what) throws InterruptedException {
		long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as(what).isLessThan(limitNanos);
			Thread.sleep(10);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 30 })
	void everyRouterCountsAllWorkExactlyOnce(int routers) throws Exception {
		start(routers);
		onLoop(() -> this.placements.values().forEach((placement) -> placement.assign(ENGINE, 3000, 3800)));
		await(() -> allRoutersSee(new EngineWork(3000L * routers, routers, 3800L * routers)), "work of all routers");
		// The sum remains correct after refreshes and beyond the expiry of a report.
		Thread.sleep(2500);
		assertThat(allRoutersSee(new EngineWork(3000L * routers, routers, 3800L * routers))).isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 30 })
	void endedWorkIsNoLongerCounted(int routers) throws Exception {
		start(routers);
		SharedLoadPlacement first = this.placements.get(HostName.of("host-0"));
		SharedLoadPlacement.Assignment[] assignment = new SharedLoadPlacement.Assignment[1];
		onLoop(() -> assignment[0] = first.assign(ENGINE, 3000, 3800));
		await(() -> allRoutersSee(new EngineWork(3000, 1, 3800)), "work of one router");
		onLoop(() -> assignment[0].completePrefill());
		await(() -> allRoutersSee(new EngineWork(0, 1, 3800)), "work after the prefill");
		onLoop(() -> assignment[0].end());
		await(() -> allRoutersSee(EngineWork.NONE), "no work");
	}

	/**
	 * Guards against routers that see only their own part of a customer's requests and so
	 * never recognize a crowd, or count a request twice on its way through collectors.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 7, 30 })
	void everyRouterCountsTheRequestsOfCustomersExactlyOnce(int routers) throws Exception {
		start(routers);
		CustomerId customer = CustomerId.of("hule930");
		onLoop(() -> this.members.forEach((member) -> {
			this.usages.get(member.host()).record(Optional.of(customer), 1000, System.nanoTime());
			this.placements.get(member.host()).assign(ENGINE, 3000, 3800);
		}));
		await(() -> allRoutersRecorded(customer, 1000L * routers), "requests of all routers");
		Thread.sleep(1500);
		assertThat(allRoutersRecorded(customer, 1000L * routers)).isTrue();
	}

	private boolean allRoutersRecorded(CustomerId customer, long tokens) {
		boolean[] result = new boolean[1];
		try {
			onLoop(() -> result[0] = this.usages.values()
				.stream()
				.allMatch((usage) -> usage.recordedTokens(customer) == tokens));
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
		return result[0];
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 30 })
	void idleFleetSendsNoReports(int routers) throws Exception {
		start(routers);
		Thread.sleep(1500);
		assertThat(this.networks.calls()).isZero();
	}

}
