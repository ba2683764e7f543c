package io.balsamlane.router.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.router.peer.LoopbackNetworks;
import io.balsamlane.router.peer.PeerNetwork;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of fleets whose store is restored from a copy. Guards against routers that never
 * read what was written between the revision of the copy and the one that they knew
 * before.
 */
class StoreRestorationTests {

	/**
	 * Platform rules: the bound of a change, 2.5 s, and its extension while the store is
	 * not stable, 6 s.
	 */
	private static final long MAX_CHANGE_DELAY_MILLIS = 8500;

	private static final String PREFIX = "servers/";

	/** Seeds of the ordinary run; the property asks for more of them. */
	private static final int SEEDS = Integer.getInteger("balsamlane.restoration.seeds", 8);

	private static final int CONCURRENT_SEEDS = 8;

	private static final int LARGE_FLEET = 20;

	private static final int SMALL_FLEET = 7;

	private static String key(int number) {
		return PREFIX + number;
	}

	// Guards against a reader that answers "no changes" to a watch from a revision that
	// does not exist any more.
	@ParameterizedTest
	@EnumSource(RestorableStore.Connections.class)
	void relayedChangeAfterRestorationArrives(RestorableStore.Connections connections) throws Exception {
		changeAfterRestorationArrives(LARGE_FLEET, true, connections);
	}

	// Guards against a watch from a revision that the restored store has given out again.
	@ParameterizedTest
	@EnumSource(RestorableStore.Connections.class)
	void changeAfterRestorationArrives(RestorableStore.Connections connections) throws Exception {
		changeAfterRestorationArrives(SMALL_FLEET, false, connections);
	}

	private void changeAfterRestorationArrives(int routers, boolean relayed, RestorableStore.Connections connections)
			throws Exception {
		try (Fleet fleet = new Fleet(routers, relayed)) {
			fleet.run((store) -> store.put(key(1), "first"));
			fleet.awaitViews();
			RestorableStore.State copy = fleet.call(() -> fleet.store.copy());
			fleet.run((store) -> IntStream.range(0, 10).forEach((beat) -> store.put(key(2), "beat " + beat)));
			fleet.awaitViews();
			fleet.run((store) -> store.restore(copy, connections));
			fleet.writeUntilKnownRevisionIsPassed("after the restoration");
			fleet.awaitViews();
		}
	}

	// Guards against a restoration that is missed because it comes during the full reads
	// that follow another one.
	@ParameterizedTest
	@ValueSource(ints = { 5, 700 })
	void furtherRestorationDuringRecoveryIsNoticed(int gapMillis) throws Exception {
		try (Fleet fleet = new Fleet(LARGE_FLEET, true)) {
			fleet.run((store) -> store.put(key(1), "first"));
			fleet.awaitViews();
			RestorableStore.State copy = fleet.call(() -> fleet.store.copy());
			fleet.run((store) -> IntStream.range(0, 10).forEach((beat) -> store.put(key(2), "beat " + beat)));
			for (int restoration = 0; restoration < 3; restoration++) {
				fleet.run((store) -> store.restore(copy, RestorableStore.Connections.KEPT));
				Thread.sleep(gapMillis);
			}
			fleet.writeUntilKnownRevisionIsPassed("after the last restoration");
			fleet.awaitViews();
		}
	}

	// Guards against a router that was cut off from the store and from the other routers
	// during the restoration, and then watches from a revision of before.
	@Test
	void routerThatWasCutOffMeanwhileReadsAgain() throws Exception {
		try (Fleet fleet = new Fleet(LARGE_FLEET, true)) {
			HostName host = fleet.members.get(5).host();
			fleet.run((store) -> store.put(key(1), "first"));
			fleet.awaitViews();
			RestorableStore.State copy = fleet.call(() -> fleet.store.copy());
			fleet.run((store) -> {
				IntStream.range(0, 10).forEach((beat) -> store.put(key(2), "beat " + beat));
				store.cutOff(host);
				fleet.networks.isolate(host);
			});
			Thread.sleep(200);
			fleet.run((store) -> store.restore(copy, RestorableStore.Connections.KEPT));
			fleet.writeUntilKnownRevisionIsPassed("after the restoration");
			Thread.sleep(2000);
			fleet.run((store) -> {
				store.reconnect(host);
				fleet.networks.rejoin(host);
			});
			fleet.awaitViews();
		}
	}

	// Guards against a view that remains stale after some interleaving of restorations,
	// writes, cuts and changes of the reader.
	@Test
	void viewsConvergeAfterRandomRestorations() throws Exception {
		List<String> failures = new ArrayList<>();
		for (int first = 1; first <= SEEDS; first += CONCURRENT_SEEDS) {
			List<Thread> runs = LongStream.range(first, Math.min(first + CONCURRENT_SEEDS, SEEDS + 1))
				.mapToObj((seed) -> new Thread(() -> runRandomly(seed, failures)))
				.toList();
			runs.forEach(Thread::start);
			for (Thread run : runs) {
				run.join();
			}
		}
		assertThat(failures).isEmpty();
	}

	private static void runRandomly(long seed, List<String> failures) {
		Random random = new Random(seed);
		boolean relayed = seed % 3 > 0;
		try (Fleet fleet = new Fleet(relayed ? LARGE_FLEET : SMALL_FLEET, relayed)) {
			fleet.run((store) -> store.put(key(0), "first"));
			fleet.awaitViews();
			List<RestorableStore.State> copies = new ArrayList<>();
			copies.add(fleet.call(() -> fleet.store.copy()));
			int steps = 20 + random.nextInt(40);
			for (int step = 0; step < steps; step++) {
				int number = step;
				fleet.run((store) -> fleet.disturb(random, copies, number));
				Thread.sleep(random.nextInt((random.nextInt(4) > 0) ? 30 : 1500));
			}
			fleet.run((store) -> fleet.members.forEach((member) -> {
				store.reconnect(member.host());
				fleet.networks.rejoin(member.host());
			}));
			// The readers are no longer bypassed after 2 s.
			Thread.sleep(random.nextInt(3000));
			fleet.run((store) -> store.restore(copies.get(copies.size() - 1),
					RestorableStore.Connections.values()[random.nextInt(3)]));
			fleet.writeUntilKnownRevisionIsPassed("after the last restoration");
			fleet.awaitViews();
		}
		catch (Exception | AssertionError ex) {
			synchronized (failures) {
				failures.add("seed " + seed + ": " + ex);
			}
		}
	}

	/** Routers that watch one store, each itself or through a reader. */
	private static final class Fleet implements AutoCloseable {

		private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

		private final List<Member> members;

		private final LoopbackNetworks networks;

		private final RestorableStore store = new RestorableStore(this.vertx);

		private final Map<HostName, Map<String, String>> views = new TreeMap<>(
				(left, right) -> left.value().compareTo(right.value()));

		private final AtomicReference<HostName> reader = new AtomicReference<>();

		Fleet(int routers, boolean relayed) throws Exception {
			this.members = IntStream.range(0, routers)
				.mapToObj((number) -> new Member(HostName.of("host-" + number), 1, Place.of("here"),
						Endpoint.of("127.0.0.1", 1 + number)))
				.toList();
			this.networks = new LoopbackNetworks(this.vertx, this.members);
			if (relayed) {
				this.reader.set(this.members.get(0).host());
			}
			run((ignored) -> this.members.forEach(this::start));
		}

		private void start(Member self) {
			PeerNetwork network = this.networks.of(self);
			StoreEras eras = StoreEras.create();
			RelayedPrefixStore relayed = RelayedPrefixStore.create(this.vertx, this.store.client(self.host(), eras),
					network, eras, () -> Optional.ofNullable(this.reader.get()),
					(key, value) -> new String(value, StandardCharsets.UTF_8), (reader, prefix, reason) -> {
					});
			relayed.start();
			Recorder view = new Recorder(this.views.computeIfAbsent(self.host(), (host) -> new TreeMap<>()));
			PrefixWatcher watcher = PrefixWatcher.create(this.vertx, relayed, PREFIX, 3000, view,
					PeerViews.create(network, eras));
			eras.addListener((previous, current) -> watcher.storeRestored());
			watcher.start();
		}

		void disturb(Random random, List<RestorableStore.State> copies, int step) {
			HostName host = this.members.get(random.nextInt(this.members.size())).host();
			switch (random.nextInt(10)) {
				case 0 -> copies.add(this.store.copy());
				case 1 -> this.store.restore(copies.get(random.nextInt(copies.size())),
						RestorableStore.Connections.values()[random.nextInt(3)]);
				case 2 -> {
					this.store.cutOff(host);
					this.networks.isolate(host);
				}
				case 3 -> this.members.forEach((member) -> {
					this.store.reconnect(member.host());
					this.networks.rejoin(member.host());
				});
				case 4 -> this.reader.updateAndGet((current) -> (current != null) ? host : null);
				case 5 -> this.store.put(key(random.nextInt(5)), null);
				default -> IntStream.range(0, 1 + random.nextInt(8))
					.forEach((write) -> this.store.put(key(random.nextInt(5)), step + "/" + write));
			}
		}

		/**
		 * Write a value that only a full read or the history of the new era shows, and
		 * then heartbeats until the revision is higher than before the restoration.
		 */
		void writeUntilKnownRevisionIsPassed(String value) throws Exception {
			Thread.sleep(300);
			run((changed) -> changed.put(key(3), value));
			for (int beat = 0; beat < 20; beat++) {
				String text = "beat " + beat + " " + value;
				run((changed) -> changed.put(key(4), text));
				Thread.sleep(40);
			}
		}

		void run(Consumer<RestorableStore> action) throws Exception {
			call(() -> {
				action.accept(this.store);
				return null;
			});
		}

		<T> T call(Callable<T> action) throws Exception {
			Promise<T> done = Promise.promise();
			this.vertx.runOnContext((ignored) -> {
				try {
					done.complete(action.call());
				}
				catch (Exception ex) {
					done.fail(ex);
				}
			});
			return await(done.future());
		}

		private static <T> T await(Future<T> future) throws Exception {
			return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
		}

		/** Wait until the view of each router equals the contents of the store. */
		void awaitViews() throws Exception {
			long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_CHANGE_DELAY_MILLIS);
			List<HostName> stale = staleRouters();
			while (!stale.isEmpty()) {
				assertThat(System.nanoTime()).as("%s have a stale view", stale).isLessThan(limitNanos);
				Thread.sleep(10);
				stale = staleRouters();
			}
		}

		private List<HostName> staleRouters() throws Exception {
			return call(() -> this.views.entrySet()
				.stream()
				.filter((view) -> !view.getValue().equals(this.store.items()))
				.map(Map.Entry::getKey)
				.toList());
		}

		@Override
		public void close() throws Exception {
			await(this.vertx.close());
		}

	}

	/** Keeps the view of one router. */
	private record Recorder(Map<String, String> view) implements PrefixWatcher.Listener {

		@Override
		public void listed(List<PrefixRead.Item> items, boolean afterOutage) {
			this.view.clear();
			changed(items, afterOutage);
		}

		@Override
		public void changed(List<PrefixRead.Item> changes, boolean afterOutage) {
			changes.forEach((item) -> {
				if (item.removed()) {
					this.view.remove(item.key());
				}
				else {
					this.view.put(item.key(), new String(item.value(), StandardCharsets.UTF_8));
				}
			});
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

}
