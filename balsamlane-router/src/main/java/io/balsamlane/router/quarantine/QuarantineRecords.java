package io.balsamlane.router.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import io.balsamlane.router.store.LeaseStore;
import io.balsamlane.router.store.PrefixRead;
import io.balsamlane.router.store.PrefixStore;
import io.balsamlane.router.store.StoreLease;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.schema.QuarantineEntry;
import io.vertx.core.Vertx;

/**
 * Keeps quarantines in the store, so that they outlive a restart of all routers. Each is
 * a key that expires with its lease. A store that has been restored from a copy may have
 * lost some; they are stored again.
 */
public final class QuarantineRecords {

	static final String KEY_PREFIX = "balsamlane/quarantine/";

	private static final long RETRY_MILLIS = 1000;

	/** Remaining time of a stored quarantine: the longest time to live of a lease. */
	private static final int STORED_REMAINING_MILLIS = 600_000;

	private static final int HEX = 16;

	private final Vertx vertx;

	private final String host;

	private final PrefixStore reads;

	private final LeaseStore writes;

	private final QuarantineTable table;

	private final BiConsumer<String, Object> failureListener;

	private final Set<String> storedKeys = new HashSet<>();

	private boolean stopped;

	private QuarantineRecords(Vertx vertx, String host, PrefixStore reads, LeaseStore writes, QuarantineTable table,
			BiConsumer<String, Object> failureListener) {
		this.vertx = vertx;
		this.host = host;
		this.reads = reads;
		this.writes = writes;
		this.table = table;
		this.failureListener = failureListener;
	}

	/**
	 * Create records.
	 * @param <S> type of the store
	 * @param vertx the event loop of the table
	 * @param host name of this host, stored with each quarantine
	 * @param store the store
	 * @param table quarantines of this router
	 * @param failureListener receives the key and the reason if a quarantine cannot be
	 * stored or read
	 * @return the records
	 */
	public static <S extends PrefixStore & LeaseStore> QuarantineRecords create(Vertx vertx, String host, S store,
			QuarantineTable table, BiConsumer<String, Object> failureListener) {
		return new QuarantineRecords(vertx, host, store, store, table, failureListener);
	}

	/**
	 * Read the stored quarantines, repeatedly until the store answers.
	 */
	public void start() {
		this.reads.list(KEY_PREFIX).onSuccess((read) -> {
			if (read instanceof PrefixRead.Listed listed) {
				this.table.apply(listed.items().stream().flatMap((item) -> parse(item.key()).stream()).toList(),
						"store");
			}
			else {
				retry(this::start);
			}
		});
	}

	/**
	 * Store quarantines again after the store has been restored from a copy: those that
	 * this router stored, and those of routers that may have terminated since.
	 * @param responsible tells for which keys this router acts instead of the one that
	 * stored them; one router of the fleet does for each key
	 */
	public void storeRestored(Predicate<String> responsible) {
		this.table.entries()
			.getEntriesList()
			.stream()
			.filter((entry) -> this.storedKeys.contains(key(entry)) || responsible.test(key(entry)))
			.forEach(this::store);
	}

	/**
	 * Stop retrying calls to the store.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void retry(Runnable action) {
		this.vertx.setTimer(RETRY_MILLIS, (id) -> {
			if (!this.stopped) {
				action.run();
			}
		});
	}

	/**
	 * Store a quarantine, repeatedly until the store answers or the quarantine has ended.
	 * @param entry the quarantine
	 */
	public void store(QuarantineEntry entry) {
		// Quarantines that have ended are forgotten.
		this.storedKeys.retainAll(this.table.entries().getEntriesList().stream().map(QuarantineRecords::key).toList());
		this.storedKeys.add(key(entry));
		this.writes.grantLease(entry.getRemainingMillis()).onSuccess((lease) -> {
			if (lease instanceof StoreLease.Granted granted) {
				write(entry, granted.lease());
			}
			else {
				retryStore(entry, lease);
			}
		});
	}

	private void write(QuarantineEntry entry, long lease) {
		byte[] value = this.host.getBytes(StandardCharsets.UTF_8);
		this.writes.compareAndSet(key(entry), value, 0, lease).onSuccess((written) -> {
			// After a mismatch another router, or a previous try, has stored the entry.
			if (!(written instanceof StoreWrite.Written) && !(written instanceof StoreWrite.Mismatch)) {
				retryStore(entry, written);
			}
		});
	}

	private void retryStore(QuarantineEntry entry, Object outcome) {
		this.failureListener.accept(key(entry), outcome);
		retry(() -> this.table.entries()
			.getEntriesList()
			.stream()
			.filter((known) -> known.getKind() == entry.getKind() && known.getValue() == entry.getValue())
			.findFirst()
			.ifPresent(this::store));
	}

	private static String key(QuarantineEntry entry) {
		return KEY_PREFIX + entry.getKind().name().toLowerCase(Locale.ROOT) + "/" + Long.toHexString(entry.getValue());
	}

	private Optional<QuarantineEntry> parse(String key) {
		String[] words = key.substring(KEY_PREFIX.length()).split("/");
		try {
			return Optional.of(QuarantineEntry.newBuilder()
				.setKind(QuarantineEntry.Kind.valueOf(words[0].toUpperCase(Locale.ROOT)))
				.setValue(Long.parseUnsignedLong(words[1], HEX))
				.setRemainingMillis(STORED_REMAINING_MILLIS)
				.build());
		}
		catch (IllegalArgumentException | ArrayIndexOutOfBoundsException ex) {
			this.failureListener.accept(key, ex);
			return Optional.empty();
		}
	}

}
