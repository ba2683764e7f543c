package io.balsamlane.router.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Watches the store through the router that reads it for the region, so that the calls to
 * the store do not grow with the fleet. Revisions are the store's, so a watch may change
 * between reader and store at any revision. A reader that is silent, or has not heard
 * from the store itself lately, is passed over for a while. Runs on one event loop.
 */
public final class RelayedPrefixStore implements PrefixStore {

	/** A reader asks the store again at least this often, so that its view is fresh. */
	private static final long READER_WAIT_MILLIS = 500;

	/**
	 * Older views are not passed on: with the time that a call may take, a router hears
	 * of a leaving server well within the 2.5 s that the platform allows.
	 */
	private static final long FRESH_MILLIS = 900;

	/** Longest wait of a relayed watch. */
	private static final long RELAY_WAIT_MILLIS = 800;

	/** Two trips between regions of 20 ms each and the reader's other work. */
	private static final long CALL_MARGIN_MILLIS = 200;

	/** Time for which a reader that could not answer is passed over. */
	private static final long AVOID_MILLIS = 2000;

	/** Adds to the age at which a view is no longer passed on, so it is short. */
	private static final long CHECK_MILLIS = 100;

	/** Two prefixes of each router of a region, and as many that were given up. */
	private static final int MAX_WAITING = 4096;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PrefixStore store;

	private final PeerNetwork peers;

	private final Supplier<Optional<HostName>> reader;

	private final Listener listener;

	private final Map<String, StoreHistory> histories = new HashMap<>();

	private final List<Waiting> waiting = new ArrayList<>();

	private long avoidUntilNanos = System.nanoTime();

	private RelayedPrefixStore(Vertx vertx, PrefixStore store, PeerNetwork peers, Supplier<Optional<HostName>> reader,
			Listener listener) {
		this.vertx = vertx;
		this.store = store;
		this.peers = peers;
		this.reader = reader;
		this.listener = listener;
	}

	/**
	 * Creates the relay.
	 * @param vertx the event loop
	 * @param store the store
	 * @param peers the other routers
	 * @param reader returns who reads the store for this router's region, empty if each
	 * router reads for itself
	 * @param listener hears when the reader cannot be used
	 * @return the relay
	 */
	public static RelayedPrefixStore create(Vertx vertx, PrefixStore store, PeerNetwork peers,
			Supplier<Optional<HostName>> reader, Listener listener) {
		return new RelayedPrefixStore(vertx, store, peers, reader, listener);
	}

	/**
	 * Answers other routers from now on.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.STORE_WATCH_QUERY,
				(from, message) -> awaitChange(message.getStoreWatchQuery())
					.map((read) -> PeerMessage.newBuilder().setStoreChanges(encode(read))));
		this.vertx.setPeriodic(CHECK_MILLIS, (id) -> answerWaiting());
	}

	@Override
	public Future<PrefixRead> list(String prefix) {
		return this.store.list(prefix);
	}

	@Override
	public Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis) {
		Optional<HostName> asked = this.reader.get();
		HostName self = this.peers.members().self().host();
		if (asked.isEmpty()) {
			return this.store.watch(prefix, afterRevision, waitMillis);
		}
		if (asked.get().equals(self)) {
			return read(prefix, afterRevision, Math.min(waitMillis, READER_WAIT_MILLIS));
		}
		if (System.nanoTime() - this.avoidUntilNanos < 0) {
			return this.store.watch(prefix, afterRevision, Math.min(waitMillis, AVOID_MILLIS));
		}
		PeerMessage.Builder query = PeerMessage.newBuilder()
			.setStoreWatchQuery(StoreWatchQuery.newBuilder()
				.setPrefix(prefix)
				.setAfterRevision(afterRevision)
				.setWaitMillis((int) Math.min(waitMillis, RELAY_WAIT_MILLIS)));
		return this.peers.call(asked.get(), query, RELAY_WAIT_MILLIS + CALL_MARGIN_MILLIS).compose((reply) -> {
			PrefixRead read = decode(reply);
			if (read instanceof PrefixRead.Unavailable unavailable) {
				this.listener.passedOver(asked.get(), prefix, unavailable.message());
				this.avoidUntilNanos = System.nanoTime() + AVOID_MILLIS * NANOS_PER_MILLI;
				return this.store.watch(prefix, afterRevision, Math.min(waitMillis, AVOID_MILLIS));
			}
			return Future.succeededFuture(read);
		});
	}

	private Future<PrefixRead> read(String prefix, long afterRevision, long waitMillis) {
		return this.store.watch(prefix, afterRevision, waitMillis).onSuccess((result) -> {
			if (result instanceof PrefixRead.Changed changed) {
				this.histories.computeIfAbsent(prefix, (key) -> new StoreHistory())
					.add(afterRevision, changed, System.nanoTime());
				answerWaiting();
			}
		});
	}

	private Future<PrefixRead> awaitChange(StoreWatchQuery query) {
		long untilNanos = System.nanoTime() + Math.min(RELAY_WAIT_MILLIS, query.getWaitMillis()) * NANOS_PER_MILLI;
		if (this.waiting.size() >= MAX_WAITING) {
			return Future.succeededFuture(new PrefixRead.Unavailable("too many routers wait"));
		}
		Waiting entry = new Waiting(query, untilNanos, Promise.promise());
		this.waiting.add(entry);
		answerWaiting();
		return entry.answer().future();
	}

	private void answerWaiting() {
		long nowNanos = System.nanoTime();
		List.copyOf(this.waiting)
			.forEach(
					(entry) -> answer(entry.query(), nowNanos - entry.untilNanos() >= 0, nowNanos).ifPresent((read) -> {
						this.waiting.remove(entry);
						entry.answer().complete(read);
					}));
	}

	private Optional<PrefixRead> answer(StoreWatchQuery query, boolean last, long nowNanos) {
		StoreHistory history = this.histories.get(query.getPrefix());
		if (history == null || history.ageNanos(nowNanos) >= FRESH_MILLIS * NANOS_PER_MILLI) {
			return Optional.of(new PrefixRead.Unavailable("no fresh view of the store"));
		}
		PrefixRead read = history.since(query.getAfterRevision());
		boolean nothing = read instanceof PrefixRead.Changed changed && changed.changes().isEmpty();
		return (nothing && !last) ? Optional.empty() : Optional.of(read);
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
			return new PrefixRead.Unavailable("the reader does not answer");
		}
		StoreChanges changes = answered.message().getStoreChanges();
		return switch (changes.getOutcome()) {
			case CHANGED -> new PrefixRead.Changed(changes.getItemsList()
				.stream()
				.map((item) -> new PrefixRead.Item(item.getKey(),
						item.getRemoved() ? null : item.getValue().toByteArray()))
				.toList(), changes.getRevision());
			case READ_AGAIN -> new PrefixRead.HistoryLost();
			default -> new PrefixRead.Unavailable("the reader has no fresh view");
		};
	}

	/**
	 * Hears of readers that cannot be used.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Hears that this router turns to the store itself for a while.
		 * @param reader the router that was asked
		 * @param prefix prefix of the keys
		 * @param reason why its answer is of no use
		 */
		void passedOver(HostName reader, String prefix, String reason);

	}

	private record Waiting(StoreWatchQuery query, long untilNanos, Promise<PrefixRead> answer) {
	}

}
