package io.balsamlane.router.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.router.peer.PeerHandler;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.StoreItem;
import io.balsamlane.schema.StoreView;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PrefixWatcher}. They guard against a view that remains stale after a
 * failure, a lost history or an outage of the store.
 */
class PrefixWatcherTests {

	private final Vertx vertx = Vertx.vertx();

	private final ScriptedPrefixStore store = new ScriptedPrefixStore();

	private final SinglePeerNetwork peer = new SinglePeerNetwork();

	private final StoreEras eras = StoreEras.create();

	private PrefixWatcher watcher;

	private final List<String> events = new CopyOnWriteArrayList<>();

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void start() {
		this.watcher = PrefixWatcher.create(this.vertx, this.store, "servers/", 100, new Recorder(),
				PeerViews.create(this.peer, this.eras));
		this.vertx.runOnContext((ignored) -> this.watcher.start());
	}

	private void awaitEvent(String text) throws InterruptedException {
		await(this.events, text);
	}

	private static void await(List<String> texts, String text) throws InterruptedException {
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!texts.contains(text)) {
			assertThat(System.nanoTime()).as("%s, waiting for %s", texts, text).isLessThan(limit);
			Thread.sleep(5);
		}
	}

	private static PrefixRead.Item item(String key) {
		return new PrefixRead.Item("servers/" + key, key.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void seriesOfChangesIsReadWithFewCalls() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(), 5));
		this.store.defaultAnswer = new PrefixRead.Changed(List.of(item("a")), 6);
		start();
		awaitEvent("changed [servers/a]");
		int before = this.store.calls.size();
		Thread.sleep(1000);
		assertThat(this.store.calls.size() - before).isBetween(1, 6);
	}

	@Test
	void changesAreReportedAfterFullRead() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(item("a")), 5));
		this.store.answers.add(new PrefixRead.Changed(List.of(item("b")), 6));
		start();
		awaitEvent("changed [servers/b]");
		assertThat(this.events).containsSubsequence("listed [servers/a]", "changed [servers/b]");
		// The next watch starts after the listener has returned.
		await(this.store.calls, "watch 6");
		assertThat(this.store.calls).containsSubsequence("list", "watch 5", "watch 6");
	}

	@Test
	void errorOfListenerDoesNotEndTheWatch() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(item("malformed")), 5));
		this.store.answers.add(new PrefixRead.Changed(List.of(item("malformed")), 6));
		this.store.answers.add(new PrefixRead.Changed(List.of(item("b")), 7));
		start();
		awaitEvent("changed [servers/b]");
	}

	@Test
	void lostHistoryCausesFullRead() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(item("a")), 5));
		this.store.answers.add(new PrefixRead.HistoryLost());
		this.store.answers.add(new PrefixRead.Listed(List.of(item("b")), 9));
		start();
		awaitEvent("listed [servers/b]");
		assertThat(this.events).doesNotContain("lost");
	}

	@Test
	void listAfterOutageIsMarked() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(item("a")), 5));
		this.store.answers.add(new PrefixRead.Unavailable("down"));
		this.store.answers.add(new PrefixRead.Unavailable("down"));
		this.store.answers.add(new PrefixRead.Listed(List.of(), 9));
		start();
		awaitEvent("listed [] after an outage");
		assertThat(this.events).containsSubsequence("listed [servers/a]", "lost", "regained",
				"listed [] after an outage");
	}

	@Test
	void routerStartedDuringOutageAdoptsViewOfPeer() throws Exception {
		this.store.defaultAnswer = new PrefixRead.Unavailable("down");
		this.peer.view = StoreView.newBuilder()
			.setKnown(true)
			.setAgeMillis(40)
			.addItems(StoreItem.newBuilder().setKey("servers/p").setValue(ByteString.copyFromUtf8("p")))
			.build();
		start();
		awaitEvent("listed [servers/p] after an outage");
		awaitEvent("taken");
	}

	@Test
	void olderViewOfPeerIsNotAdopted() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(item("a")), 5));
		this.store.defaultAnswer = new PrefixRead.Unavailable("down");
		this.peer.view = StoreView.newBuilder().setKnown(true).setAgeMillis(60_000).build();
		start();
		awaitEvent("lost");
		// The peer answers immediately, so the first view has been compared before the
		// peer is queried again.
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.peer.calls < 2) {
			assertThat(System.nanoTime()).as("waiting for two queries").isLessThan(limit);
			Thread.sleep(5);
		}
		assertThat(this.events).doesNotContain("taken");
	}

	// Guards against a view of before a restoration that is kept because the answer to an
	// outstanding watch arrives later, or because the restored store loses writes that
	// are
	// repeated only after the first read.
	@Test
	void restorationOfStoreCausesTwoFullReads() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(item("a")), 5));
		start();
		await(this.store.calls, "watch 5");
		this.store.answers.add(new PrefixRead.Listed(List.of(), 4));
		this.vertx.runOnContext((ignored) -> {
			this.watcher.storeRestored();
			this.store.outstanding.get(0).complete(new PrefixRead.Changed(List.of(item("outdated")), 6));
		});
		awaitEvent("listed [] after an outage");
		await(this.store.calls, "watch 4");
		this.store.answers.add(new PrefixRead.Listed(List.of(item("a"), item("b")), 9));
		awaitEvent("listed [servers/a, servers/b]");
		assertThat(this.events).containsSubsequence("listed [servers/a]", "restored", "listed [] after an outage",
				"listed [servers/a, servers/b]");
		assertThat(this.events).doesNotContain("changed [servers/outdated]");
	}

	// Guards against a second restoration whose lost writes are never read because the
	// second full read belongs to the first one.
	@Test
	void secondRestorationPostponesTheSecondFullRead() throws Exception {
		this.store.answers.add(new PrefixRead.Listed(List.of(item("a")), 5));
		start();
		await(this.store.calls, "watch 5");
		this.vertx.runOnContext((ignored) -> this.watcher.storeRestored());
		Thread.sleep(2000);
		this.store.answers.add(new PrefixRead.Listed(List.of(), 3));
		long restoredNanos = System.nanoTime();
		this.vertx.runOnContext((ignored) -> this.watcher.storeRestored());
		await(this.store.calls, "watch 3");
		int lists = this.store.lists();
		this.store.answers.add(new PrefixRead.Listed(List.of(item("b")), 9));
		awaitEvent("listed [servers/b]");
		assertThat(this.store.lists()).isEqualTo(lists + 1);
		// Entries of the copy expire after three heartbeat intervals of 1.2 s.
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - restoredNanos)).isGreaterThanOrEqualTo(3600);
	}

	// Guards against the view of a router that has not noticed the restoration yet.
	@Test
	void viewOfPeerFromBeforeRestorationIsNotAdopted() throws Exception {
		this.eras.observe(new StoreEra(4), Optional.empty());
		this.store.defaultAnswer = new PrefixRead.Unavailable("down");
		StoreView.Builder view = StoreView.newBuilder()
			.setKnown(true)
			.addItems(StoreItem.newBuilder().setKey("servers/p").setValue(ByteString.copyFromUtf8("p")));
		this.peer.view = view.setStoreEra(3).build();
		start();
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.peer.calls < 2) {
			assertThat(System.nanoTime()).as("waiting for two queries").isLessThan(limit);
			Thread.sleep(5);
		}
		assertThat(this.events).doesNotContain("taken");
		this.peer.view = view.setStoreEra(4).build();
		awaitEvent("taken");
	}

	private static void requireWellFormed(List<PrefixRead.Item> items) {
		if (items.stream().anyMatch((item) -> item.key().endsWith("malformed"))) {
			throw new IllegalArgumentException("malformed value");
		}
	}

	private final class Recorder implements PrefixWatcher.Listener {

		@Override
		public void listed(List<PrefixRead.Item> items, boolean afterOutage) {
			requireWellFormed(items);
			PrefixWatcherTests.this.events.add("listed " + items.stream().map(PrefixRead.Item::key).toList()
					+ (afterOutage ? " after an outage" : ""));
		}

		@Override
		public void changed(List<PrefixRead.Item> changes, boolean afterOutage) {
			requireWellFormed(changes);
			PrefixWatcherTests.this.events.add("changed " + changes.stream().map(PrefixRead.Item::key).toList());
		}

		@Override
		public void peerViewAdopted(long ageMillis) {
			PrefixWatcherTests.this.events.add("taken");
		}

		@Override
		public void storeLost(String reason) {
			PrefixWatcherTests.this.events.add("lost");
		}

		@Override
		public void storeRegained() {
			PrefixWatcherTests.this.events.add("regained");
		}

		@Override
		public void storeRestored() {
			PrefixWatcherTests.this.events.add("restored");
		}

	}

	/** Store that returns scripted answers in order, then a default answer or none. */
	private static final class ScriptedPrefixStore implements PrefixStore {

		private final Deque<PrefixRead> answers = new ConcurrentLinkedDeque<>();

		private final List<String> calls = new CopyOnWriteArrayList<>();

		private final List<Promise<PrefixRead>> outstanding = new CopyOnWriteArrayList<>();

		private volatile PrefixRead defaultAnswer;

		int lists() {
			return (int) this.calls.stream().filter("list"::equals).count();
		}

		@Override
		public Future<PrefixRead> list(String prefix) {
			this.calls.add("list");
			return next();
		}

		@Override
		public Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis) {
			this.calls.add("watch " + afterRevision);
			return next();
		}

		private Future<PrefixRead> next() {
			PrefixRead answer = this.answers.poll();
			if (answer == null) {
				answer = this.defaultAnswer;
			}
			if (answer != null) {
				return Future.succeededFuture(answer);
			}
			Promise<PrefixRead> later = Promise.promise();
			this.outstanding.add(later);
			return later.future();
		}

	}

	/** Network with one other router. */
	private static final class SinglePeerNetwork implements PeerNetwork {

		private final Member self = new Member(HostName.of("self"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 1));

		private final Member other = new Member(HostName.of("other"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 2));

		private volatile StoreView view = StoreView.getDefaultInstance();

		private volatile int calls;

		@Override
		public MemberView members() {
			return new MemberView(this.self, new ArrayList<>(List.of(this.self, this.other)));
		}

		@Override
		public void addMemberListener(Consumer<MemberView> listener) {
		}

		@Override
		public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
			this.calls++;
			return Future
				.succeededFuture(new PeerReply.Answered(PeerMessage.newBuilder().setStoreView(this.view).build()));
		}

		@Override
		public void register(PeerMessage.BodyCase body, PeerHandler handler) {
		}

	}

}
