package io.balsamlane.router.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.balsamlane.core.model.HostName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.router.store.LeaseStore;
import io.balsamlane.router.store.PrefixRead;
import io.balsamlane.router.store.PrefixStore;
import io.balsamlane.router.store.StoreLease;
import io.balsamlane.router.store.StoreWrite;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.QuarantineEntry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Keeps the quarantines of {@link CrashGuard} consistent across routers. Pairs of routers
 * exchange them periodically, so a router that was restarted or cut off learns of them,
 * as in the anti-entropy of Demers et al., "Epidemic algorithms for replicated database
 * maintenance" (1987). The store keeps them while all routers are down.
 */
public final class QuarantineReplicator {

	static final String KEY_PREFIX = "balsamlane/quarantine/";

	/** Well below the time after which a restarted or reconnected router is judged. */
	private static final long EXCHANGE_INTERVAL_MILLIS = 1000;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private static final long STORE_RETRY_MILLIS = 1000;

	/** Remaining time of a stored quarantine, whose key expires with its lease. */
	private static final int STORED_REMAINING_MILLIS = 600_000;

	private static final int HEX = 16;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final PrefixStore reads;

	private final LeaseStore writes;

	private final CrashGuard guard;

	private final UniformRandomProvider random;

	private final DecisionLog log;

	private boolean stopped;

	private QuarantineReplicator(Vertx vertx, PeerNetwork peers, PrefixStore reads, LeaseStore writes, CrashGuard guard,
			UniformRandomProvider random, DecisionLog log) {
		this.vertx = vertx;
		this.peers = peers;
		this.reads = reads;
		this.writes = writes;
		this.guard = guard;
		this.random = random;
		this.log = log;
	}

	/**
	 * Create a replicator.
	 * @param <S> type of the store
	 * @param vertx the event loop of the guard
	 * @param peers the other routers
	 * @param store keeps the quarantines
	 * @param guard decides on quarantines
	 * @param random selects the router for each exchange
	 * @param log receives what is read and what cannot be stored
	 * @return the replicator, not started
	 */
	public static <S extends PrefixStore & LeaseStore> QuarantineReplicator create(Vertx vertx, PeerNetwork peers,
			S store, CrashGuard guard, UniformRandomProvider random, DecisionLog log) {
		return new QuarantineReplicator(vertx, peers, store, store, guard, random, log);
	}

	/**
	 * Read the stored quarantines, and start to exchange and store them.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.QUARANTINE_SYNC, (from, message) -> {
			this.guard.apply(message.getQuarantineSync().getEntriesList(), from.getHost());
			return Future.succeededFuture(PeerMessage.newBuilder().setQuarantineSync(this.guard.entries()));
		});
		this.guard.setDecisionListener(this::store);
		this.vertx.setPeriodic(EXCHANGE_INTERVAL_MILLIS, (id) -> exchange());
		load();
	}

	/**
	 * Stop retrying calls to the store.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void exchange() {
		HostName self = this.peers.members().self().host();
		List<HostName> others = this.peers.members()
			.members()
			.stream()
			.map((member) -> member.host())
			.filter((host) -> !host.equals(self))
			.toList();
		if (others.isEmpty()) {
			return;
		}
		HostName partner = others.get(this.random.nextInt(others.size()));
		this.peers.call(partner, PeerMessage.newBuilder().setQuarantineSync(this.guard.entries()), CALL_TIMEOUT_MILLIS)
			.onSuccess((reply) -> {
				if (reply instanceof PeerReply.Answered answered) {
					this.guard.apply(answered.message().getQuarantineSync().getEntriesList(), partner.value());
				}
			});
	}

	private void load() {
		this.reads.list(KEY_PREFIX).onSuccess((read) -> {
			if (read instanceof PrefixRead.Listed listed) {
				this.guard.apply(listed.items().stream().flatMap((item) -> parse(item.key()).stream()).toList(),
						"store");
			}
			else {
				retry(this::load);
			}
		});
	}

	private void retry(Runnable action) {
		this.vertx.setTimer(STORE_RETRY_MILLIS, (id) -> {
			if (!this.stopped) {
				action.run();
			}
		});
	}

	private void store(QuarantineEntry entry) {
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
		byte[] host = this.peers.members().self().host().value().getBytes(StandardCharsets.UTF_8);
		this.writes.compareAndSet(key(entry), host, 0, lease).onSuccess((written) -> {
			// After a mismatch another router, or a previous try, has stored the entry.
			if (!(written instanceof StoreWrite.Written) && !(written instanceof StoreWrite.Mismatch)) {
				retryStore(entry, written);
			}
		});
	}

	private void retryStore(QuarantineEntry entry, Object outcome) {
		this.log.log("quarantine-not-stored", "", "key", key(entry), "outcome", outcome);
		retry(() -> {
			if (this.guard.entries()
				.getEntriesList()
				.stream()
				.anyMatch((known) -> known.getKind() == entry.getKind() && known.getValue() == entry.getValue())) {
				store(entry);
			}
		});
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
			this.log.log("quarantine-ignored", "", "key", key, "reason", ex);
			return Optional.empty();
		}
	}

}
