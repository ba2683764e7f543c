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
 * Guards against a router that misses changes because the router that reads the store for
 * it is cut off, silent or behind, and against watches of the store by everybody.
 */
class RelayedPrefixStoreTests {

	private static final String PREFIX = "servers/";

	/** Platform rule: no new work 2.5 s after the store acknowledged a leaving server. */
	private static final long LEAVING_BOUND_MILLIS = 2500;

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

	private final List<String> heard = new CopyOnWriteArrayList<>();

	private final List<String> passedOver = new CopyOnWriteArrayList<>();

	@BeforeEach
	void start() throws Exception {
		onLoop(() -> MEMBERS.forEach(this::watch));
		for (Member member : MEMBERS) {
			awaitHeard(member.host() + " listed 0", 5000);
		}
		// The reader's first watch and the routers' first question to it have ended.
		Thread.sleep(2500);
		this.passedOver.clear();
	}

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void watch(Member self) {
		PeerNetwork network = this.networks.of(self);
		RelayedPrefixStore relayed = RelayedPrefixStore.create(this.vertx, this.store.as(self.host()), network,
				() -> Optional.of(READER.host()), (reader, prefix, reason) -> this.passedOver.add(self.host().value()));
		relayed.start();
		PrefixWatcher
			.create(this.vertx, relayed, PREFIX, 3000, new Recorder(self.host().value()), PeerViews.create(network))
			.start();
	}

	private void onLoop(Runnable action) throws Exception {
		Promise<Void> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			action.run();
			done.complete();
		});
		done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void awaitHeard(String text, long limitMillis) throws InterruptedException {
		long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
		while (!this.heard.contains(text)) {
			assertThat(System.nanoTime()).as("%s, waiting for %s", this.heard, text).isLessThan(limitNanos);
			Thread.sleep(5);
		}
	}

	@Test
	void oneRouterWatchesForAll() throws Exception {
		this.store.watches.set(0);
		onLoop(() -> this.store.put("a"));
		for (Member member : MEMBERS) {
			awaitHeard(member.host() + " a", LEAVING_BOUND_MILLIS);
		}
		Thread.sleep(2000);
		// The reader alone watches, twice a second.
		assertThat(this.store.watches).hasValueLessThan(ROUTERS);
		assertThat(this.passedOver).isEmpty();
	}

	@Test
	void changeIsHeardInTimeWhenTheReaderCannotReachTheStore() throws Exception {
		onLoop(() -> this.store.silent = READER.host());
		onLoop(() -> this.store.put("a"));
		awaitHeard(FOLLOWER + " a", LEAVING_BOUND_MILLIS);
		assertThat(this.heard).doesNotContain(READER.host() + " a");
	}

	@Test
	void changeIsHeardInTimeWhenTheReaderIsCutOff() throws Exception {
		this.networks.isolate(READER.host());
		onLoop(() -> this.store.put("a"));
		awaitHeard(FOLLOWER + " a", LEAVING_BOUND_MILLIS);
		assertThat(this.passedOver).contains(FOLLOWER);
	}

	@Test
	void changeOfAnotherRevisionCounterNeedsNoFullRead() throws Exception {
		onLoop(() -> this.store.revision += 50);
		Thread.sleep(1500);
		int lists = this.store.lists.get();
		onLoop(() -> this.store.put("a"));
		awaitHeard(FOLLOWER + " a", LEAVING_BOUND_MILLIS);
		assertThat(this.store.lists).hasValue(lists);
	}

	private final class Recorder implements PrefixWatcher.Listener {

		private final String host;

		Recorder(String host) {
			this.host = host;
		}

		@Override
		public void listed(List<PrefixRead.Item> items, boolean afterOutage) {
			RelayedPrefixStoreTests.this.heard.add(this.host + " listed " + items.size());
		}

		@Override
		public void changed(List<PrefixRead.Item> changes, boolean afterOutage) {
			changes.forEach((item) -> RelayedPrefixStoreTests.this.heard
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

	}

	/** A store that one router may find silent. */
	private final class MemoryStore {

		private final List<PrefixRead.Changed> log = new ArrayList<>();

		private final List<Runnable> waiting = new ArrayList<>();

		private final AtomicInteger watches = new AtomicInteger();

		private final AtomicInteger lists = new AtomicInteger();

		private long revision = 10;

		private HostName silent;

		void put(String value) {
			this.revision++;
			this.log.add(new PrefixRead.Changed(
					List.of(new PrefixRead.Item(PREFIX + value, value.getBytes(StandardCharsets.UTF_8))),
					this.revision));
			List.copyOf(this.waiting).forEach(Runnable::run);
		}

		private PrefixRead.Changed after(long known) {
			return new PrefixRead.Changed(this.log.stream()
				.filter((change) -> change.revision() > known)
				.flatMap((change) -> change.changes().stream())
				.toList(), this.revision);
		}

		PrefixStore as(HostName host) {
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
					Runnable look = () -> {
						PrefixRead.Changed changed = after(afterRevision);
						if (!changed.changes().isEmpty() && !host.equals(MemoryStore.this.silent)) {
							answer.tryComplete(changed);
						}
					};
					MemoryStore.this.waiting.add(look);
					look.run();
					RelayedPrefixStoreTests.this.vertx.setTimer(waitMillis, (id) -> {
						if (!host.equals(MemoryStore.this.silent)) {
							answer.tryComplete(after(afterRevision));
						}
					});
					return answer.future();
				}

			};
		}

	}

}
