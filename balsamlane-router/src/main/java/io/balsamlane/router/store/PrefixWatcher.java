package io.balsamlane.router.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.Vertx;

/**
 * Keeps a view of all keys with a prefix up to date: a full read, then watches, and a
 * full read again after each failure, lost history or pause of the process. Runs on one
 * event loop.
 */
public final class PrefixWatcher {

	private static final long MIN_PAUSE_MILLIS = 100;

	private static final long MAX_PAUSE_MILLIS = 800;

	/**
	 * Shortest time between the starts of two watches, so that a series of changes, such
	 * as the start of all servers, costs few calls.
	 */
	private static final long WATCH_GAP_MILLIS = 200;

	/** A view that is less than this much older than a peer's is kept. */
	private static final long PEER_AGE_MILLIS = 800;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Time after the store's return in which entries that lapsed during its outage are
	 * entered again.
	 */
	private static final long RETURN_NANOS = 2_500_000_000L;

	private final Vertx vertx;

	private final PrefixStore store;

	private final String prefix;

	private final long waitMillis;

	private final Listener listener;

	private final PeerViews peers;

	private final Map<String, byte[]> view = new LinkedHashMap<>();

	private boolean known;

	private long watchedNanos = System.nanoTime() - WATCH_GAP_MILLIS * NANOS_PER_MILLI;

	private long confirmedNanos;

	private boolean asking;

	private long pauseMillis = MIN_PAUSE_MILLIS;

	private boolean lost;

	private long returnedNanos = Long.MIN_VALUE;

	private boolean outageSeen;

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
	 * Creates a watcher.
	 * @param vertx the event loop
	 * @param store the store
	 * @param prefix the prefix
	 * @param waitMillis longest time that one watch waits
	 * @param listener hears of each change
	 * @param peers asked while the store cannot be reached
	 * @return the watcher
	 */
	public static PrefixWatcher create(Vertx vertx, PrefixStore store, String prefix, long waitMillis,
			Listener listener, PeerViews peers) {
		return new PrefixWatcher(vertx, store, prefix, waitMillis, listener, peers);
	}

	/**
	 * Starts with a full read.
	 */
	public void start() {
		this.peers.offer(this.prefix, this::snapshot);
		read();
	}

	/**
	 * Stops; no call is made from now on.
	 */
	public void stop() {
		this.stopped = true;
		this.generation++;
	}

	/**
	 * Reads everything again, because the view may be stale.
	 */
	public void refresh() {
		this.generation++;
		read();
	}

	private void read() {
		int current = this.generation;
		this.store.list(this.prefix).onSuccess((result) -> {
			if (current != this.generation || this.stopped) {
				return;
			}
			if (result instanceof PrefixRead.Listed listed) {
				reached();
				replace(listed.items(), System.nanoTime());
				this.listener.listed(listed.items(), afterOutage());
				watch(listed.revision());
			}
			else {
				failed(result);
			}
		});
	}

	private void watch(long revision) {
		int current = this.generation;
		long waitMillis = (this.watchedNanos - System.nanoTime()) / NANOS_PER_MILLI + WATCH_GAP_MILLIS;
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
		this.watchedNanos = System.nanoTime();
		this.store.watch(this.prefix, revision, this.waitMillis).onSuccess((result) -> {
			if (current != this.generation || this.stopped) {
				return;
			}
			if (result instanceof PrefixRead.Changed changed) {
				reached();
				changed.changes().forEach(this::change);
				this.confirmedNanos = System.nanoTime();
				this.listener.changed(changed.changes(), afterOutage());
				watch(changed.revision());
			}
			else if (result instanceof PrefixRead.HistoryLost) {
				read();
			}
			else {
				failed(result);
			}
		});
	}

	private void replace(List<PrefixRead.Item> items, long atNanos) {
		this.view.clear();
		items.forEach(this::change);
		this.known = true;
		this.confirmedNanos = atNanos;
	}

	private void change(PrefixRead.Item item) {
		if (item.removed()) {
			this.view.remove(item.key());
		}
		else {
			this.view.put(item.key(), item.value());
		}
	}

	private Optional<StoreSnapshot> snapshot() {
		return this.known ? Optional.of(new StoreSnapshot(this.view.entrySet()
			.stream()
			.map((entry) -> new PrefixRead.Item(entry.getKey(), entry.getValue()))
			.toList(), ageMillis())) : Optional.empty();
	}

	private long ageMillis() {
		return (System.nanoTime() - this.confirmedNanos) / NANOS_PER_MILLI;
	}

	// Takes over a peer's view if it is fresher than this router's own.
	private void askPeers() {
		if (this.asking || (this.known && ageMillis() < PEER_AGE_MILLIS)) {
			return;
		}
		this.asking = true;
		this.peers.ask(this.prefix).onSuccess((answer) -> {
			this.asking = false;
			if (answer.isPresent() && this.lost && !this.stopped
					&& (!this.known || answer.get().ageMillis() + PEER_AGE_MILLIS < ageMillis())) {
				StoreSnapshot snapshot = answer.get();
				replace(snapshot.items(), System.nanoTime() - snapshot.ageMillis() * NANOS_PER_MILLI);
				this.listener.listed(snapshot.items(), true);
				this.listener.taken(snapshot.ageMillis());
			}
		});
	}

	private void reached() {
		if (this.lost) {
			this.lost = false;
			this.outageSeen = true;
			this.returnedNanos = System.nanoTime();
			this.listener.regained();
		}
		this.pauseMillis = MIN_PAUSE_MILLIS;
	}

	private boolean afterOutage() {
		return this.outageSeen && System.nanoTime() - this.returnedNanos < RETURN_NANOS;
	}

	private void failed(PrefixRead result) {
		if (!this.lost) {
			this.lost = true;
			this.listener.lost((result instanceof PrefixRead.Unavailable unavailable) ? unavailable.message()
					: "unexpected answer");
		}
		askPeers();
		int current = this.generation;
		long spread = ThreadLocalRandom.current().nextLong(this.pauseMillis / 2 + 1);
		this.vertx.setTimer(this.pauseMillis + spread, (id) -> {
			if (current == this.generation && !this.stopped) {
				read();
			}
		});
		this.pauseMillis = Math.min(MAX_PAUSE_MILLIS, this.pauseMillis * 2);
	}

	/**
	 * Hears of changes.
	 */
	public interface Listener {

		/**
		 * Receives all keys.
		 * @param items the keys with their values
		 * @param afterOutage true if the store was away just before
		 */
		void listed(List<PrefixRead.Item> items, boolean afterOutage);

		/**
		 * Receives changes, possibly none.
		 * @param changes the changes in their order
		 * @param afterOutage true if the store was away just before
		 */
		void changed(List<PrefixRead.Item> changes, boolean afterOutage);

		/**
		 * Hears that the last list was a peer's view.
		 * @param ageMillis age of the view
		 */
		void taken(long ageMillis);

		/**
		 * Hears that the store cannot be reached.
		 * @param reason the cause
		 */
		void lost(String reason);

		/**
		 * Hears that the store can be reached again.
		 */
		void regained();

	}

}
