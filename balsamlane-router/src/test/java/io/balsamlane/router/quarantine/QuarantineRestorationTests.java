package io.balsamlane.router.quarantine;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.balsamlane.router.store.LeaseStore;
import io.balsamlane.router.store.PrefixRead;
import io.balsamlane.router.store.PrefixStore;
import io.balsamlane.router.store.StoreLease;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.schema.QuarantineEntry;
import io.balsamlane.schema.QuarantineSync;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link QuarantineRecords} after a restoration of the store. Guards against
 * quarantines that the store has lost and nobody stores again, and against all routers
 * storing them.
 */
class QuarantineRestorationTests {

	private static final String OWN = "balsamlane/quarantine/prompt_part/1";

	private static final String OTHER = "balsamlane/quarantine/prompt_part/2";

	private final Vertx vertx = Vertx.vertx();

	private final List<String> written = new CopyOnWriteArrayList<>();

	private volatile QuarantineSync entries = QuarantineSync.getDefaultInstance();

	private volatile boolean available = true;

	private final QuarantineRecords records = QuarantineRecords.create(this.vertx, "host", new FakeStore(),
			new FakeTable(), (key, reason) -> {
			});

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private static QuarantineEntry entry(long value) {
		return QuarantineEntry.newBuilder()
			.setKind(QuarantineEntry.Kind.PROMPT_PART)
			.setValue(value)
			.setRemainingMillis(60_000)
			.build();
	}

	private void decide(long value) {
		this.entries = this.entries.toBuilder().addEntries(entry(value)).build();
		this.records.store(entry(value));
	}

	@Test
	void ownQuarantineIsStoredAgain() {
		decide(1);
		this.records.storeRestored((key) -> false);
		assertThat(this.written).containsExactly(OWN, OWN);
	}

	@Test
	void quarantineOfAnotherRouterIsStoredByTheOneThatIsResponsible() {
		this.entries = QuarantineSync.newBuilder().addEntries(entry(1)).addEntries(entry(2)).build();
		this.records.storeRestored(OTHER::equals);
		assertThat(this.written).containsExactly(OTHER);
	}

	@Test
	void endedQuarantineIsNotStoredAgain() {
		decide(1);
		this.entries = QuarantineSync.getDefaultInstance();
		this.records.storeRestored((key) -> true);
		assertThat(this.written).containsExactly(OWN);
	}

	@Test
	void quarantineIsStoredOnceTheStoreAnswers() throws Exception {
		decide(1);
		this.available = false;
		this.records.storeRestored((key) -> false);
		this.available = true;
		long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.written.size() < 2) {
			assertThat(System.nanoTime()).isLessThan(limitNanos);
			Thread.sleep(5);
		}
		assertThat(this.written).containsExactly(OWN, OWN);
	}

	private final class FakeTable implements QuarantineTable {

		@Override
		public QuarantineSync entries() {
			return QuarantineRestorationTests.this.entries;
		}

		@Override
		public void apply(List<QuarantineEntry> applied, String source) {
		}

	}

	/** Store that has lost all keys whenever one is written. */
	private final class FakeStore implements PrefixStore, LeaseStore {

		@Override
		public Future<StoreLease> grantLease(long leaseMillis) {
			return Future.succeededFuture(QuarantineRestorationTests.this.available ? new StoreLease.Granted(1)
					: new StoreLease.Undecided("down"));
		}

		@Override
		public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion, long lease) {
			QuarantineRestorationTests.this.written.add(key);
			return Future.succeededFuture(new StoreWrite.Written(1));
		}

		@Override
		public Future<PrefixRead> list(String prefix) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<StoreLease> renewLease(long lease) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<StoreLease> revokeLease(long lease) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<StoreRead> get(String key) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<StoreWrite> delete(String key) {
			throw new UnsupportedOperationException();
		}

		@Override
		public Future<StoreRead> watch(String key, long afterVersion) {
			throw new UnsupportedOperationException();
		}

	}

}
