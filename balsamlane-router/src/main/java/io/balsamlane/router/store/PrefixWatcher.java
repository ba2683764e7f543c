package io.balsamlane.router.store;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.Vertx;

/**
 * Watcher that keeps a view of all keys with a prefix up to date. It starts with a full
 * read, continues with watches, and repeats the full read after each failure, lost
 * history, pause of the process or restoration of the store. Confined to one event loop.
 */
public final class PrefixWatcher {

	private static final Logger logger = System.getLogger(PrefixWatcher.class.getName());

	private static final long MIN_RETRY_DELAY_MILLIS = 100;

	private static final long MAX_RETRY_DELAY_MILLIS = 800;

	/**
	 * Minimum time between the starts of two watches. It limits the calls for a series of
	 * changes, such as the start of all servers.
	 */
	private static final long MIN_WATCH_INTERVAL_MILLIS = 200;

	/**
	 * Minimum difference in age by which a peer's view must be fresher to replace the
	 * local one. A local view younger than this is always kept.
	 */
	private static final long MIN_AGE_GAIN_MILLIS = 800;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Time after the store has recovered during which reads and changes count as
	 * following the outage, because entries that expired during the outage are still
	 * being registered again.
	 */
	private static final long RECOVERY_NANOS = 2_500_000_000L;

	/**
	 * Time from a restoration of the store to a second full read, after which entries of
	 * the copy that their writers do not renew have expired. It exceeds the time for
	 * which listeners do not trust such entries.
	 */
	private static final long RESTORATION_MILLIS = 4500;

	private final Vertx vertx;

	private final PrefixStore store;

	private final String prefix;

	private final long waitMillis;

	private final Listener listener;

	private final PeerViews peers;

	private final Map<String, byte[]> view = new LinkedHashMap<>();

	private boolean viewKnown;

	private long lastWatchNanos = System.nanoTime() - MIN_WATCH_INTERVAL_MILLIS * NANOS_PER_MILLI;

	private long confirmedNanos;

	private boolean peerQueryPending;

	private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

	private boolean storeUnavailable;

	private long recoveredNanos = Long.MIN_VALUE;

	private boolean outageSeen;

	private int restorations;

	private int generation;

	private boolean stopped;

	private PrefixWatcher(Vertx vertx, PrefixStore store, String prefix, long waitMillis, Listener listener,
			PeerViews peers) {
		this.vertx = vertx;
		this.store = store;
		this.prefix = prefix;
		this.waitMillis = waitMillis;
		this.listener = listener;
		this.peers = peers;
	}

	/**
	 * Create a watcher.
	 * @param vertx provides the event loop
	 * @param store the store
	 * @param prefix the prefix
	 * @param waitMillis the maximum duration of one watch, in milliseconds
	 * @param listener notified of each change
	 * @param peers queried while the store cannot be reached
	 * @return the watcher
	 */
	public static PrefixWatcher create(Vertx vertx, PrefixStore store, String prefix, long waitMillis,
			Listener listener, PeerViews peers) {
		return new PrefixWatcher(vertx, store, prefix, waitMillis, listener, peers);
	}

	/**
	 * Start watching with a full read.
	 */
	public void start() {
		this.peers.provide(this.prefix, this::snapshot);
		readAll();
	}

	/**
	 * Stop watching. No further calls are made to the store.
	 */
	public void stop() {
		this.stopped = true;
		this.generation++;
	}

	/**
	 * Repeat the full read because the view may be stale.
	 */
	public void refresh() {
		if (this.stopped) {
			return;
		}
		this.generation++;
		readAll();
	}

	/**
	 * Handle the restoration of the store from a copy: revisions and the answers to
	 * outstanding calls belong to contents that no longer exist. Writers repeat their
	 * lost writes during the following seconds.
	 */
	public void storeRestored() {
		this.viewKnown = false;
		this.outageSeen = true;
		this.recoveredNanos = System.nanoTime();
		this.listener.storeRestored();
		refresh();
		int restoration = ++this.restorations;
		this.vertx.setTimer(RESTORATION_MILLIS, (id) -> {
			if (restoration == this.restorations && !this.stopped) {
				refresh();
			}
		});
	}

	private void readAll() {
		int current = this.generation;
		this.store.list(this.prefix).onSuccess((result) -> {
			if (current != this.generation || this.stopped) {
				return;
			}
			if (result instanceof PrefixRead.Listed listed) {
				handleRecovery();
				replaceView(listed.items(), System.nanoTime());
				notifyListener(() -> this.listener.listed(listed.items(), afterOutage()));
				watch(listed.revision());
			}
			else {
				handleFailure(result);
			}
		});
	}

	private void watch(long revision) {
		int current = this.generation;
		long waitMillis = (this.lastWatchNanos - System.nanoTime()) / NANOS_PER_MILLI + MIN_WATCH_INTERVAL_MILLIS;
		if (waitMillis <= 0) {
			watchNow(revision);
			return;
		}
		this.vertx.setTimer(waitMillis, (id) -> {
			if (current == this.generation && !this.stopped) {
				watchNow(revision);
			}
		});
	}

	private void watchNow(long revision) {
		int current = this.generation;
		this.lastWatchNanos = System.nanoTime();
		this.store.watch(this.prefix, revision, this.waitMillis).onSuccess((result) -> {
			if (current != this.generation || this.stopped) {
				return;
			}
			if (result instanceof PrefixRead.Changed changed) {
				handleRecovery();
				changed.changes().forEach(this::applyChange);
				this.confirmedNanos = System.nanoTime();
				notifyListener(() -> this.listener.changed(changed.changes(), afterOutage()));
				watch(changed.revision());
			}
			else if (result instanceof PrefixRead.HistoryLost) {
				readAll();
			}
			else {
				handleFailure(result);
			}
		});
	}

	// The watch continues after an error of the listener; otherwise one unexpected value
	// would leave the view stale for the rest of the process's life.
	private void notifyListener(Runnable notification) {
		try {
			notification.run();
		}
		catch (RuntimeException ex) {
			logger.log(Level.ERROR, "Listener for " + this.prefix + " failed; the change is not applied", ex);
		}
	}

	private void replaceView(List<PrefixRead.Item> items, long atNanos) {
		this.view.clear();
		items.forEach(this::applyChange);
		this.viewKnown = true;
		this.confirmedNanos = atNanos;
	}

	private void applyChange(PrefixRead.Item item) {
		if (item.removed()) {
			this.view.remove(item.key());
		}
		else {
			this.view.put(item.key(), item.value());
		}
	}

	private Optional<StoreSnapshot> snapshot() {
		return this.viewKnown ? Optional.of(new StoreSnapshot(this.view.entrySet()
			.stream()
			.map((entry) -> new PrefixRead.Item(entry.getKey(), entry.getValue()))
			.toList(), ageMillis())) : Optional.empty();
	}

	private long ageMillis() {
		return (System.nanoTime() - this.confirmedNanos) / NANOS_PER_MILLI;
	}

	// Adopts a peer's view if it is fresher than the local one.
	private void queryPeers() {
		if (this.peerQueryPending || (this.viewKnown && ageMillis() < MIN_AGE_GAIN_MILLIS)) {
			return;
		}
		this.peerQueryPending = true;
		this.peers.query(this.prefix).onSuccess((answer) -> {
			this.peerQueryPending = false;
			if (answer.isPresent() && this.storeUnavailable && !this.stopped
					&& (!this.viewKnown || answer.get().ageMillis() + MIN_AGE_GAIN_MILLIS < ageMillis())) {
				StoreSnapshot snapshot = answer.get();
				replaceView(snapshot.items(), System.nanoTime() - snapshot.ageMillis() * NANOS_PER_MILLI);
				this.listener.listed(snapshot.items(), true);
				this.listener.peerViewAdopted(snapshot.ageMillis());
			}
		});
	}

	private void handleRecovery() {
		if (this.storeUnavailable) {
			this.storeUnavailable = false;
			this.outageSeen = true;
			this.recoveredNanos = System.nanoTime();
			this.listener.storeRegained();
		}
		this.retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
	}

	private boolean afterOutage() {
		return this.outageSeen && System.nanoTime() - this.recoveredNanos < RECOVERY_NANOS;
	}

	private void handleFailure(PrefixRead result) {
		if (!this.storeUnavailable) {
			this.storeUnavailable = true;
			this.listener.storeLost((result instanceof PrefixRead.Unavailable unavailable) ? unavailable.message()
					: "unexpected answer of the store");
		}
		queryPeers();
		int current = this.generation;
		long jitterMillis = ThreadLocalRandom.current().nextLong(this.retryDelayMillis / 2 + 1);
		this.vertx.setTimer(this.retryDelayMillis + jitterMillis, (id) -> {
			if (current == this.generation && !this.stopped) {
				readAll();
			}
		});
		this.retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, this.retryDelayMillis * 2);
	}

	/**
	 * Callback interface for changes of the view and of the availability of the store.
	 */
	public interface Listener {

		/**
		 * Handle a full list of the keys.
		 * @param items the keys with their values
		 * @param afterOutage true if the list comes from a peer during an outage of the
		 * store, or from the store shortly after an outage
		 */
		void listed(List<PrefixRead.Item> items, boolean afterOutage);

		/**
		 * Handle changes, of which there may be none.
		 * @param changes the changes in the order in which they were made
		 * @param afterOutage true if the changes were read shortly after an outage of the
		 * store
		 */
		void changed(List<PrefixRead.Item> changes, boolean afterOutage);

		/**
		 * Handle the adoption of a peer's view, which was the last list.
		 * @param ageMillis the age of the view, in milliseconds
		 */
		void peerViewAdopted(long ageMillis);

		/**
		 * Handle the loss of the connection to the store.
		 * @param reason the cause
		 */
		void storeLost(String reason);

		/**
		 * Handle the recovery of the connection to the store.
		 */
		void storeRegained();

		/**
		 * Handle the restoration of the store from a copy, before the next list. The copy
		 * may contain entries that have been replaced or removed since.
		 */
		void storeRestored();

	}

}
