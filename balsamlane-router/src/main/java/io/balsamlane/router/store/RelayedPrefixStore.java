package io.balsamlane.router.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.StoreChanges;
import io.balsamlane.schema.StoreItem;
import io.balsamlane.schema.StoreWatchQuery;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * {@link PrefixStore} that watches the store through the router that reads it for the
 * region, so that the number of calls to the store does not grow with the number of
 * routers. Revisions are those of the store, so a watch may switch between the reader and
 * the store at any revision of the same era. After a restoration of the store, the reader
 * drops its histories and lets the other routers read the store again. A reader that does
 * not answer, or has had no recent answer from the store itself, is bypassed for some
 * time. Values that mean the same to a router as the ones before them are not passed on,
 * so that heartbeats of servers cause neither messages nor decoding on each router; the
 * revision advances nevertheless. Confined to one event loop.
 */
public final class RelayedPrefixStore implements PrefixStore {

	/**
	 * Maximum duration of a watch of the store by the reader, which keeps its view fresh.
	 */
	private static final long READER_WATCH_MILLIS = 500;

	/**
	 * Maximum age of a view that is passed on. Together with the time that a call may
	 * take, it lets a router learn of a leaving server well within the 2.5 s that the
	 * platform allows.
	 */
	private static final long MAX_VIEW_AGE_MILLIS = 900;

	/** Maximum duration of a relayed watch. */
	private static final long RELAYED_WATCH_MILLIS = 800;

	/** Two trips of 20 ms each between regions, and time for other work of the reader. */
	private static final long CALL_MARGIN_MILLIS = 200;

	/** Time for which a reader that could not answer is bypassed. */
	private static final long BYPASS_MILLIS = 2000;

	/**
	 * Interval of the checks for expired watches and stale views. It is short because it
	 * adds to the maximum age of a view.
	 */
	private static final long CHECK_INTERVAL_MILLIS = 100;

	/**
	 * Two watches, one for each prefix, of each router of a region, and as many that have
	 * been abandoned.
	 */
	private static final int MAX_PENDING_WATCHES = 4096;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PrefixStore store;

	private final PeerNetwork peers;

	private final StoreEras eras;

	private final Supplier<Optional<HostName>> reader;

	private final BiFunction<String, byte[], Object> meaning;

	private final Listener listener;

	private final Map<String, StoreHistory> histories = new HashMap<>();

	private final List<PendingWatch> pendingWatches = new ArrayList<>();

	private long bypassUntilNanos = System.nanoTime();

	private RelayedPrefixStore(Vertx vertx, PrefixStore store, PeerNetwork peers, StoreEras eras,
			Supplier<Optional<HostName>> reader, BiFunction<String, byte[], Object> meaning, Listener listener) {
		this.vertx = vertx;
		this.store = store;
		this.peers = peers;
		this.eras = eras;
		this.reader = reader;
		this.meaning = meaning;
		this.listener = listener;
	}

	/**
	 * Create the store.
	 * @param vertx provides the event loop
	 * @param store the store
	 * @param peers the network of routers
	 * @param eras the eras of the store
	 * @param reader supplies the router that reads the store for this router's region,
	 * empty if each router reads the store itself
	 * @param meaning returns what a router reads from the value of a key; a value whose
	 * meaning equals that of the value before it is not passed on
	 * @param listener notified when the reader cannot be used
	 * @return the store
	 */
	public static RelayedPrefixStore create(Vertx vertx, PrefixStore store, PeerNetwork peers, StoreEras eras,
			Supplier<Optional<HostName>> reader, BiFunction<String, byte[], Object> meaning, Listener listener) {
		return new RelayedPrefixStore(vertx, store, peers, eras, reader, meaning, listener);
	}

	/**
	 * Start answering watches of other routers.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.STORE_WATCH_QUERY,
				(from, message) -> awaitChange(message.getStoreWatchQuery())
					.map((read) -> PeerMessage.newBuilder().setStoreChanges(encode(read))));
		this.vertx.setPeriodic(CHECK_INTERVAL_MILLIS, (id) -> answerPendingWatches());
		this.eras.addListener((previous, current) -> {
			this.histories.clear();
			answerPendingWatches();
		});
	}

	@Override
	public Future<PrefixRead> list(String prefix) {
		return this.store.list(prefix);
	}

	@Override
	public Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis) {
		Optional<HostName> target = this.reader.get();
		HostName self = this.peers.members().self().host();
		if (target.isEmpty()) {
			return this.store.watch(prefix, afterRevision, waitMillis);
		}
		if (target.get().equals(self)) {
			return watchStore(prefix, afterRevision, Math.min(waitMillis, READER_WATCH_MILLIS));
		}
		if (System.nanoTime() - this.bypassUntilNanos < 0) {
			return this.store.watch(prefix, afterRevision, Math.min(waitMillis, BYPASS_MILLIS));
		}
		StoreWatchQuery.Builder query = StoreWatchQuery.newBuilder()
			.setPrefix(prefix)
			.setAfterRevision(afterRevision)
			.setWaitMillis((int) Math.min(waitMillis, RELAYED_WATCH_MILLIS));
		this.eras.current().ifPresent((era) -> query.setStoreEra(era.number()));
		PeerMessage.Builder message = PeerMessage.newBuilder().setStoreWatchQuery(query);
		return this.peers.call(target.get(), message, RELAYED_WATCH_MILLIS + CALL_MARGIN_MILLIS).compose((reply) -> {
			PrefixRead read = decode(reply);
			if (read instanceof PrefixRead.Unavailable unavailable) {
				this.listener.readerBypassed(target.get(), prefix, unavailable.message());
				this.bypassUntilNanos = System.nanoTime() + BYPASS_MILLIS * NANOS_PER_MILLI;
				return this.store.watch(prefix, afterRevision, Math.min(waitMillis, BYPASS_MILLIS));
			}
			return Future.succeededFuture(read);
		});
	}

	private Future<PrefixRead> watchStore(String prefix, long afterRevision, long waitMillis) {
		return this.store.watch(prefix, afterRevision, waitMillis).map((result) -> {
			if (result instanceof PrefixRead.Changed changed) {
				PrefixRead.Changed meaningful = this.histories
					.computeIfAbsent(prefix, (key) -> new StoreHistory(this.meaning))
					.add(afterRevision, changed, System.nanoTime());
				answerPendingWatches();
				return meaningful;
			}
			return result;
		});
	}

	private Future<PrefixRead> awaitChange(StoreWatchQuery query) {
		long deadlineNanos = System.nanoTime()
				+ Math.min(RELAYED_WATCH_MILLIS, query.getWaitMillis()) * NANOS_PER_MILLI;
		if (this.pendingWatches.size() >= MAX_PENDING_WATCHES) {
			return Future.succeededFuture(new PrefixRead.Unavailable("too many pending watches"));
		}
		PendingWatch entry = new PendingWatch(query, deadlineNanos, Promise.promise());
		this.pendingWatches.add(entry);
		answerPendingWatches();
		return entry.answer().future();
	}

	private void answerPendingWatches() {
		if (this.pendingWatches.isEmpty()) {
			return;
		}
		long nowNanos = System.nanoTime();
		List.copyOf(this.pendingWatches)
			.forEach((entry) -> answer(entry.query(), nowNanos - entry.deadlineNanos() >= 0, nowNanos)
				.ifPresent((read) -> {
					this.pendingWatches.remove(entry);
					entry.answer().complete(read);
				}));
	}

	private Optional<PrefixRead> answer(StoreWatchQuery query, boolean expired, long nowNanos) {
		Optional<StoreEra> current = this.eras.current();
		if (query.hasStoreEra() && current.isPresent()) {
			int comparison = current.get().compareTo(new StoreEra(query.getStoreEra()));
			if (comparison > 0) {
				return Optional.of(new PrefixRead.HistoryLost());
			}
			if (comparison < 0) {
				return Optional.of(new PrefixRead.Unavailable("a view from before the store was restored"));
			}
		}
		StoreHistory history = this.histories.get(query.getPrefix());
		if (history == null && !expired) {
			// All routers of a fleet start simultaneously: the first answer of the store
			// is
			// still outstanding.
			return Optional.empty();
		}
		if (history == null || history.ageNanos(nowNanos) >= MAX_VIEW_AGE_MILLIS * NANOS_PER_MILLI) {
			return Optional.of(new PrefixRead.Unavailable("no recent view of the store"));
		}
		PrefixRead read = history.changesSince(query.getAfterRevision());
		boolean empty = read instanceof PrefixRead.Changed changed && changed.changes().isEmpty();
		return (empty && !expired) ? Optional.empty() : Optional.of(read);
	}

	private static StoreChanges encode(PrefixRead read) {
		StoreChanges.Builder changes = StoreChanges.newBuilder();
		if (read instanceof PrefixRead.Changed changed) {
			changes.setOutcome(StoreChanges.Outcome.CHANGED).setRevision(changed.revision());
			changed.changes()
				.forEach((item) -> changes.addItems(StoreItem.newBuilder()
					.setKey(item.key())
					.setRemoved(item.removed())
					.setValue(item.removed() ? ByteString.EMPTY : ByteString.copyFrom(item.value()))));
		}
		else if (read instanceof PrefixRead.HistoryLost) {
			changes.setOutcome(StoreChanges.Outcome.READ_AGAIN);
		}
		return changes.build();
	}

	private static PrefixRead decode(PeerReply reply) {
		if (!(reply instanceof PeerReply.Answered answered)) {
			return new PrefixRead.Unavailable("the reader did not answer");
		}
		StoreChanges changes = answered.message().getStoreChanges();
		return switch (changes.getOutcome()) {
			case CHANGED -> new PrefixRead.Changed(changes.getItemsList()
				.stream()
				.map((item) -> new PrefixRead.Item(item.getKey(),
						item.getRemoved() ? null : item.getValue().toByteArray()))
				.toList(), changes.getRevision());
			case READ_AGAIN -> new PrefixRead.HistoryLost();
			default -> new PrefixRead.Unavailable("the reader has no recent view of the store");
		};
	}

	/**
	 * Callback interface for readers that cannot be used.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Handle the bypass of a reader: this router watches the store itself for some
		 * time.
		 * @param reader the router that was called
		 * @param prefix the prefix of the keys
		 * @param reason the reason why its answer cannot be used
		 */
		void readerBypassed(HostName reader, String prefix, String reason);

	}

	private record PendingWatch(StoreWatchQuery query, long deadlineNanos, Promise<PrefixRead> answer) {
	}

}
