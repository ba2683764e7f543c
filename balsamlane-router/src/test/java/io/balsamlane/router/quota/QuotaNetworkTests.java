package io.balsamlane.router.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.core.quota.QuotaOwners;
import io.balsamlane.core.quota.QuotaTolerance;
import io.balsamlane.router.peer.NettyPeerNetwork;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.PeerSettings;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link QuotaService} on real networks between four routers. Guards against
 * requests that are not decided, and against a quota that is granted anew, when the owner
 * is killed.
 */
class QuotaNetworkTests {

	private static final CustomerId CUSTOMER = CustomerId.of("customer");

	/** The burst fits into the start tokens; refills of a test are below one request. */
	private static final CustomerQuota QUOTA = new CustomerQuota(100, 6000, 200);

	private static final int ROUTERS = 4;

	private final Vertx vertx = Vertx.vertx();

	private final Map<HostName, NettyPeerNetwork> networks = new TreeMap<>();

	private final Map<HostName, QuotaService> services = new TreeMap<>();

	private final List<String> deciders = new CopyOnWriteArrayList<>();

	@BeforeEach
	void start() throws Exception {
		List<RouterHost> seeds = new ArrayList<>();
		for (int number = 0; number < ROUTERS; number++) {
			HostName host = HostName.of("router-" + number);
			NettyPeerNetwork network = NettyPeerNetwork.create(this.vertx, settings(host),
					Timeline.create(host.value(), 100, System::currentTimeMillis),
					RandomSource.XO_RO_SHI_RO_128_PP.create(number));
			this.networks.put(host, network);
			int port = await(network.start(1));
			seeds.add(new RouterHost(host, Place.of("place"), Endpoint.of("127.0.0.1", port), false));
			this.services.put(host, onLoop(() -> {
				QuotaService service = QuotaService.create(this.vertx, network, QuotaTolerance.DEFAULT, false,
						RandomSource.XO_RO_SHI_RO_128_PP.create(number(host)), new Deciders());
				service.start();
				return service;
			}));
		}
		this.networks.values().forEach((network) -> network.setSeeds(seeds));
		for (NettyPeerNetwork network : this.networks.values()) {
			awaitMembers(network, ROUTERS);
		}
	}

	private static int number(HostName host) {
		return Integer.parseInt(host.value().substring("router-".length()));
	}

	private static Settings settings(HostName host) {
		return Settings.newBuilder()
			.setNode(NodeSettings.newBuilder().setHost(host.value()).setPlace("place").setAddress("127.0.0.1"))
			.setPeer(PeerSettings.newBuilder()
				.setKey("key")
				.setProbeMillis(500)
				.setProbeTimeoutMillis(200)
				.setSuspicionMillis(1200)
				.setMaxFrameBytes(200_000))
			.build();
	}

	@AfterEach
	void stop() throws Exception {
		for (NettyPeerNetwork network : this.networks.values()) {
			await(network.abort());
		}
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private <T> T onLoop(Callable<T> action) throws Exception {
		return await(Future.future((done) -> this.vertx.runOnContext((ignored) -> {
			try {
				done.complete(action.call());
			}
			catch (Exception ex) {
				done.fail(ex);
			}
		})));
	}

	private static void awaitMembers(NettyPeerNetwork network, int members) throws Exception {
		long endNanos = System.nanoTime() + 20_000_000_000L;
		while (network.members().members().size() != members) {
			assertThat(System.nanoTime()).as("the members are known within 20 s").isLessThan(endNanos);
			Thread.sleep(20);
		}
	}

	private HostName candidate(int rank) {
		return QuotaOwners.of(this.networks.values().iterator().next().members()).candidates(CUSTOMER).get(rank);
	}

	private HostName lastRouter() {
		List<HostName> asked = List.of(candidate(0), candidate(1), candidate(2));
		return this.services.keySet().stream().filter((host) -> !asked.contains(host)).findFirst().orElseThrow();
	}

	private boolean granted(HostName at, long tokens) throws Exception {
		return await(onLoop(
				() -> this.services.get(at).acquire(CUSTOMER, QUOTA, 1, tokens))) instanceof QuotaDecision.Granted;
	}

	@Test
	void routersDrawOnOneBucketAndReturnTokens() throws Exception {
		HostName asking = lastRouter();
		QuotaDecision first = await(onLoop(() -> this.services.get(asking).acquire(CUSTOMER, QUOTA, 1, 5500)));
		assertThat(first).isInstanceOf(QuotaDecision.Granted.class);
		assertThat(granted(candidate(1), 3000)).isFalse();
		onLoop(() -> {
			this.services.get(asking).giveBack(((QuotaDecision.Granted) first).grant());
			return null;
		});
		// Messages of one router to another are handled in order.
		assertThat(granted(asking, 5500)).isTrue();
	}

	@Test
	void deputyDecidesWhenOwnerIsKilledAndQuotaIsNotGrantedAnew() throws Exception {
		HostName owner = candidate(0);
		HostName deputy = candidate(1);
		HostName asking = lastRouter();
		assertThat(granted(asking, 6000)).isTrue();
		await(this.networks.remove(owner).abort());
		long startNanos = System.nanoTime();
		assertThat(granted(asking, 6000)).as("the deputy grants a part of the tolerance").isTrue();
		assertThat(System.nanoTime() - startNanos).isLessThan(2_000_000_000L);
		assertThat(granted(asking, 6000)).isFalse();
		for (HostName host : List.of(asking, deputy)) {
			awaitMembers(this.networks.get(host), ROUTERS - 1);
		}
		assertThat(granted(asking, 3000)).as("the new owner does not start with the burst").isFalse();
		assertThat(this.deciders).containsOnly(deputy.value());
	}

	private final class Deciders implements QuotaListener {

		@Override
		public void decided(String kind) {
		}

		@Override
		public void refusalsStarted(CustomerId customer, Optional<HostName> decidedBy, long viewAgeMillis) {
			QuotaNetworkTests.this.deciders.add(decidedBy.map(HostName::value).orElse("local"));
		}

		@Override
		public void refusalsEnded(CustomerId customer, long refused, long lastedMillis) {
		}

	}

}
