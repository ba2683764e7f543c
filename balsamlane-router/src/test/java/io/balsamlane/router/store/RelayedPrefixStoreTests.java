package io.balsamlane.router.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.router.peer.LoopbackNetworks;
import io.balsamlane.router.peer.PeerNetwork;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RelayedPrefixStore}. They guard against a router that misses changes
 * because the router that reads the store for it is isolated, unresponsive or behind, and
 * against every router watching the store itself.
 */
class RelayedPrefixStoreTests {

	private static final String PREFIX = "servers/";

	/**
	 * Platform rule: a server gets no new work 2.5 s after the store acknowledged that it
	 * is leaving.
	 */
	private static final long MAX_CHANGE_DELAY_MILLIS = 2500;

	private static final int ROUTERS = 20;

	private static final List<Member> MEMBERS = IntStream.range(0, ROUTERS)
		.mapToObj((number) -> new Member(HostName.of("host-" + number), 1, Place.of("here"),
				Endpoint.of("127.0.0.1", 1 + number)))
		.toList();

	private static final Member READER = MEMBERS.get(0);

	private static final String FOLLOWER = "host-1";

	private final Vertx vertx = Vertx.vertx();

	private final LoopbackNetworks networks = new LoopbackNetworks(this.vertx, MEMBERS);

	private final MemoryStore store = new MemoryStore();

	private final List<String> events = new CopyOnWriteArrayList<>();

	private final List<String> bypassingRouters = new CopyOnWriteArrayList<>();

	private List<String> bypassedAtStart;

	@BeforeEach
	void start() throws Exception {
		runOnEventLoop(() -> MEMBERS.forEach(this::watch));
		for (Member member : MEMBERS) {
			awaitEvent(member.host() + " listed 0", 5000);
		}
		// Lets the reader's first watch and the first queries of the routers to it end.
		Thread.sleep(2500);
		this.bypassedAtStart = List.copyOf(this.bypassingRouters);
		this.bypassingRouters.clear();
	}

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void watch(Member self) {
		PeerNetwork network = this.networks.of(self);
		StoreEras eras = StoreEras.create();
		RelayedPrefixStore relayed = RelayedPrefixStore.create(this.vertx, this.store.forRouter(self.host()), network,
				eras, () -> Optional.of(READER.host()),
				// A heartbeat differs from the entry before it after the colon only.
				(key, value) -> new String(value, StandardCharsets.UTF_8).split(":")[0],
				(reader, prefix, reason) -> this.bypassingRouters.add(self.host().value()));
		relayed.start();
		PrefixWatcher
			.create(this.vertx, relayed, PREFIX, 3000, new Recorder(self.host().value()),
					PeerViews.create(network, eras))
			.start();
	}

	private void runOnEventLoop(Runnable action) throws Exception {
		Promise<Void> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			action.run();
			done.complete();
		});
		done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void awaitEvent(String text, long limitMillis) throws InterruptedException {
		long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
		while (!this.events.contains(text)) {
			assertThat(System.nanoTime()).as("%s, waiting for %s", this.events, text).isLessThan(limitNanos);
			Thread.sleep(5);
		}
	}

	@Test
	void onlyReaderWatchesStore() throws Exception {
		this.store.watches.set(0);
		runOnEventLoop(() -> this.store.put("a"));
		for (Member member : MEMBERS) {
			awaitEvent(member.host() + " a", MAX_CHANGE_DELAY_MILLIS);
		}
		Thread.sleep(2000);
		// Only the reader watches the store, twice per second.
		assertThat(this.store.watches).hasValueLessThan(ROUTERS);
		assertThat(this.bypassingRouters).isEmpty();
	}

	@Test
	void heartbeatsAreNotRelayed() throws Exception {
		runOnEventLoop(() -> this.store.put("a", "a:0"));
		for (Member member : MEMBERS) {
			awaitEvent(member.host() + " a:0", MAX_CHANGE_DELAY_MILLIS);
		}
		Thread.sleep(1000);
		long calls = this.networks.calls();
		for (int beat = 1; beat <= 40; beat++) {
			String value = "a:" + beat;
			runOnEventLoop(() -> this.store.put("a", value));
			Thread.sleep(50);
		}
		// A watch of 800 ms with a pause of up to 200 ms: 3 in 2 s. With the heartbeats
		// it
		// would be 10.
		assertThat(this.networks.calls() - calls).isLessThanOrEqualTo(ROUTERS * 4);
		assertThat(this.events).noneMatch((event) -> event.matches(".* a:[1-9].*"));
		runOnEventLoop(() -> this.store.put("a", "left:1"));
		for (Member member : MEMBERS) {
			awaitEvent(member.host() + " left:1", MAX_CHANGE_DELAY_MILLIS);
		}
	}

	@Test
	void routersThatStartWithTheReaderWaitForItsFirstView() {
		assertThat(this.bypassedAtStart).isEmpty();
	}

	@Test
	void changeArrivesInTimeWhenReaderCannotReachStore() throws Exception {
		runOnEventLoop(() -> this.store.unresponsiveFor = READER.host());
		runOnEventLoop(() -> this.store.put("a"));
		awaitEvent(FOLLOWER + " a", MAX_CHANGE_DELAY_MILLIS);
		assertThat(this.events).doesNotContain(READER.host() + " a");
	}

	@Test
	void changeArrivesInTimeWhenReaderIsIsolated() throws Exception {
		this.networks.isolate(READER.host());
		runOnEventLoop(() -> this.store.put("a"));
		awaitEvent(FOLLOWER + " a", MAX_CHANGE_DELAY_MILLIS);
		assertThat(this.bypassingRouters).contains(FOLLOWER);
	}

	@Test
	void revisionGapWithoutChangesCausesNoFullRead() throws Exception {
		runOnEventLoop(() -> this.store.revision += 50);
		Thread.sleep(1500);
		int lists = this.store.lists.get();
		runOnEventLoop(() -> this.store.put("a"));
		awaitEvent(FOLLOWER + " a", MAX_CHANGE_DELAY_MILLIS);
		assertThat(this.store.lists).hasValue(lists);
	}

	private final class Recorder implements PrefixWatcher.Listener {

		private final String host;

		Recorder(String host) {
			this.host = host;
		}

		@Override
		public void listed(List<PrefixRead.Item> items, boolean afterOutage) {
			RelayedPrefixStoreTests.this.events.add(this.host + " listed " + items.size());
		}

		@Override
		public void changed(List<PrefixRead.Item> changes, boolean afterOutage) {
			changes.forEach((item) -> RelayedPrefixStoreTests.this.events
				.add(this.host + " " + new String(item.value(), StandardCharsets.UTF_8)));
		}

		@Override
		public void peerViewAdopted(long ageMillis) {
		}

		@Override
		public void storeLost(String reason) {
		}

		@Override
		public void storeRegained() {
		}

		@Override
		public void storeRestored() {
		}

	}

	/** In-memory store that may be unresponsive for one router. */
	private final class MemoryStore {

		private final List<PrefixRead.Changed> log = new ArrayList<>();

		private final List<Runnable> waiting = new ArrayList<>();

		private final AtomicInteger watches = new AtomicInteger();

		private final AtomicInteger lists = new AtomicInteger();

		private long revision = 10;

		private HostName unresponsiveFor;

		void put(String value) {
			put(value, value);
		}

		void put(String key, String value) {
			this.revision++;
			this.log.add(new PrefixRead.Changed(
					List.of(new PrefixRead.Item(PREFIX + key, value.getBytes(StandardCharsets.UTF_8))), this.revision));
			List.copyOf(this.waiting).forEach(Runnable::run);
		}

		private PrefixRead.Changed after(long known) {
			return new PrefixRead.Changed(this.log.stream()
				.filter((change) -> change.revision() > known)
				.flatMap((change) -> change.changes().stream())
				.toList(), this.revision);
		}

		PrefixStore forRouter(HostName host) {
			return new PrefixStore() {

				@Override
				public Future<PrefixRead> list(String prefix) {
					MemoryStore.this.lists.incrementAndGet();
					return Future.succeededFuture(new PrefixRead.Listed(after(0).changes(), MemoryStore.this.revision));
				}

				@Override
				public Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis) {
					MemoryStore.this.watches.incrementAndGet();
					Promise<PrefixRead> answer = Promise.promise();
					Runnable check = () -> {
						PrefixRead.Changed changed = after(afterRevision);
						if (!changed.changes().isEmpty() && !host.equals(MemoryStore.this.unresponsiveFor)) {
							answer.tryComplete(changed);
						}
					};
					MemoryStore.this.waiting.add(check);
					check.run();
					RelayedPrefixStoreTests.this.vertx.setTimer(waitMillis, (id) -> {
						if (!host.equals(MemoryStore.this.unresponsiveFor)) {
							answer.tryComplete(after(afterRevision));
						}
					});
					return answer.future();
				}

			};
		}

	}

}
