package io.balsamlane.router.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.router.peer.PeerHandler;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.router.store.LeaseStore;
import io.balsamlane.router.store.PrefixRead;
import io.balsamlane.router.store.PrefixStore;
import io.balsamlane.router.store.StoreLease;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.QuarantineEntry;
import io.balsamlane.schema.QuarantineSync;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link QuarantineExchange} and {@link QuarantineRecords}: a router that was
 * not running or not reachable when a quarantine was announced must learn of it, and
 * entries of the store that cannot be read must not prevent that.
 */
class QuarantineReplicationTests {

	private static final int ROUTERS = 12;

	private static final QuarantineEntry ENTRY = QuarantineEntry.newBuilder()
		.setKind(QuarantineEntry.Kind.PROMPT_PART)
		.setValue(0xdead)
		.setRemainingMillis(60_000)
		.build();

	private final Vertx vertx = Vertx.vertx();

	private final Map<HostName, Map<PeerMessage.BodyCase, PeerHandler>> handlers = new ConcurrentHashMap<>();

	private final List<PrefixRead.Item> stored = new ArrayList<>();

	private final List<String> unreadable = new ArrayList<>();

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private FakeTable startRouter(int number) {
		FakeNetwork network = new FakeNetwork(host(number));
		FakeTable table = new FakeTable();
		QuarantineExchange
			.create(this.vertx, Runnable::run, network, table, RandomSource.XO_RO_SHI_RO_128_PP.create(number))
			.start();
		QuarantineRecords
			.create(this.vertx, host(number).value(), new FakeStore(), table, (key, reason) -> this.unreadable.add(key))
			.start();
		return table;
	}

	private static HostName host(int number) {
		return HostName.of("router-" + number);
	}

	private <T> T onLoop(Supplier<T> action) throws Exception {
		Promise<T> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> done.complete(action.get()));
		return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private boolean allQuarantinedWithin(List<FakeTable> tables, long millis) throws Exception {
		long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < limit) {
			if (onLoop(() -> tables.stream().allMatch((table) -> table.values.contains(ENTRY.getValue())))) {
				return true;
			}
			Thread.sleep(20);
		}
		return false;
	}

	@Test
	void quarantineReachesRoutersThatMissedItsAnnouncement() throws Exception {
		List<FakeTable> tables = onLoop(() -> IntStream.range(0, ROUTERS).mapToObj(this::startRouter).toList());
		onLoop(() -> tables.get(0).values.add(ENTRY.getValue()));
		assertThat(allQuarantinedWithin(tables, 15_000)).isTrue();
	}

	@Test
	void readsStoredQuarantinesAndIgnoresMalformedKeys() throws Exception {
		for (String key : List.of("", "prompt_part", "prompt_part/xyz", "unknown/1", "prompt_part/dead",
				"prompt_part/123456789abcdef01")) {
			this.stored.add(new PrefixRead.Item(QuarantineRecords.KEY_PREFIX + key, new byte[0]));
		}
		FakeTable table = onLoop(() -> startRouter(0));
		assertThat(allQuarantinedWithin(List.of(table), 5000)).isTrue();
		assertThat(this.unreadable).hasSize(5);
	}

	private static final class FakeTable implements QuarantineTable {

		private final Set<Long> values = new HashSet<>();

		@Override
		public QuarantineSync entries() {
			return QuarantineSync.newBuilder()
				.addAllEntries(this.values.stream().map((value) -> ENTRY.toBuilder().setValue(value).build()).toList())
				.build();
		}

		@Override
		public void apply(List<QuarantineEntry> entries, String source) {
			entries.forEach((entry) -> this.values.add(entry.getValue()));
		}

	}

	/** Network in which each router reaches each other one. */
	private final class FakeNetwork implements PeerNetwork {

		private final HostName host;

		FakeNetwork(HostName host) {
			this.host = host;
			QuarantineReplicationTests.this.handlers.put(host, new ConcurrentHashMap<>());
		}

		@Override
		public MemberView members() {
			List<Member> members = QuarantineReplicationTests.this.handlers.keySet()
				.stream()
				.map(FakeNetwork::member)
				.toList();
			return new MemberView(member(this.host), members);
		}

		private static Member member(HostName host) {
			return new Member(host, 1, Place.of("here"), Endpoint.of("127.0.0.1", 1));
		}

		@Override
		public void addMemberListener(Consumer<MemberView> listener) {
		}

		@Override
		public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
			return QuarantineReplicationTests.this.handlers.get(to)
				.get(message.getBodyCase())
				.handle(NodeId.newBuilder().setHost(this.host.value()).build(), message.build())
				.map((reply) -> new PeerReply.Answered(reply.build()));
		}

		@Override
		public void register(PeerMessage.BodyCase body, PeerHandler handler) {
			QuarantineReplicationTests.this.handlers.get(this.host).put(body, handler);
		}

	}

	/** Store that can only be listed. */
	private final class FakeStore implements PrefixStore, LeaseStore {

		@Override
		public Future<PrefixRead> list(String prefix) {
			return Future
				.succeededFuture(new PrefixRead.Listed(List.copyOf(QuarantineReplicationTests.this.stored), 1));
		}

		@Override
		public Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis) {
			return Future.succeededFuture(new PrefixRead.Unavailable("test"));
		}

		@Override
		public Future<StoreRead> get(String key) {
			return Future.succeededFuture(new StoreRead.Unavailable("test"));
		}

		@Override
		public Future<StoreRead> watch(String key, long afterVersion) {
			return Future.succeededFuture(new StoreRead.Unavailable("test"));
		}

		@Override
		public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion) {
			return Future.succeededFuture(new StoreWrite.Undecided("test"));
		}

		@Override
		public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion, long lease) {
			return Future.succeededFuture(new StoreWrite.Undecided("test"));
		}

		@Override
		public Future<StoreWrite> delete(String key) {
			return Future.succeededFuture(new StoreWrite.Undecided("test"));
		}

		@Override
		public Future<StoreLease> grantLease(long leaseMillis) {
			return Future.succeededFuture(new StoreLease.Undecided("test"));
		}

		@Override
		public Future<StoreLease> renewLease(long lease) {
			return Future.succeededFuture(new StoreLease.Undecided("test"));
		}

		@Override
		public Future<StoreLease> revokeLease(long lease) {
			return Future.succeededFuture(new StoreLease.Undecided("test"));
		}

	}

}
