package io.balsamlane.router.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32C;

import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.retry.Quarantine;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.QuarantineNotice;
import io.balsamlane.schema.ServerDeath;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Detects requests that crash the backend servers that run them, and quarantines them.
 * The routers do this jointly: each reports to the others which of its requests were
 * interrupted on a server that then terminated. All methods run on one event loop.
 */
public final class CrashGuard {

	private static final int MAX_CRASHES = 64;

	private static final int MAX_QUARANTINED = 256;

	/** Time within which all routers lose their connections to one crashed server. */
	private static final long CRASH_MERGE_NANOS = 2_000_000_000L;

	/** Callers retry such a request for at most a few minutes. */
	private static final long RETENTION_NANOS = 120_000_000_000L;

	/**
	 * Maximum age of a lost connection when the termination of its server is detected:
	 * the server list shows it after three missed heartbeats and some propagation delay.
	 */
	private static final long MAX_LOSS_AGE_NANOS = 8_000_000_000L;

	/** Crashes within this time are reported to the other routers in one batch. */
	private static final long REPORT_BATCH_MILLIS = 30;

	/** Time after which the other routers' reports about a crash have arrived. */
	private static final long DECISION_DELAY_MILLIS = 250;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final DecisionLog log;

	private final Quarantine quarantine = Quarantine.create(MAX_CRASHES, MAX_QUARANTINED, CRASH_MERGE_NANOS,
			RETENTION_NANOS);

	private final Map<String, Set<Long>> unreportedCrashes = new HashMap<>();

	private final Map<ServerName, Map<Long, LostConnection>> lostConnections = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<ServerName, Map<Long, LostConnection>> eldest) {
			return size() > MAX_CRASHES;
		}

	};

	private CrashGuard(Vertx vertx, PeerNetwork peers, DecisionLog log) {
		this.vertx = vertx;
		this.peers = peers;
		this.log = log;
	}

	/**
	 * Create a guard that handles the messages of the other routers from now on.
	 * @param vertx the event loop
	 * @param peers the other routers
	 * @param log receives each decision
	 * @return the guard
	 */
	public static CrashGuard create(Vertx vertx, PeerNetwork peers, DecisionLog log) {
		CrashGuard guard = new CrashGuard(vertx, peers, log);
		peers.register(PeerMessage.BodyCase.SERVER_DEATH, (from, message) -> {
			ServerDeath death = message.getServerDeath();
			guard.quarantine.reported(death.getServer(), death.getFingerprintsList(), System.nanoTime());
			guard.scheduleDecision();
			return acknowledged();
		});
		peers.register(PeerMessage.BodyCase.QUARANTINE_NOTICE, (from, message) -> {
			QuarantineNotice notice = message.getQuarantineNotice();
			guard.quarantine.apply(notice.getFingerprint(), notice.getRemainingMillis() * NANOS_PER_MILLI,
					System.nanoTime());
			log.log("request-quarantined", "", "fingerprint", Long.toHexString(notice.getFingerprint()), "servers",
					notice.getServersList(), "source", from.getHost());
			return acknowledged();
		});
		return guard;
	}

	private static Future<PeerMessage.Builder> acknowledged() {
		return Future
			.succeededFuture(PeerMessage.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance()));
	}

	/**
	 * Compute a fingerprint that is equal for repetitions of the same request.
	 * @param request the request
	 * @param body body of the request
	 * @return the fingerprint
	 */
	static long fingerprint(HttpServerRequest request, Buffer body) {
		CRC32C head = new CRC32C();
		head.update((request.method() + " " + request.uri()).getBytes(StandardCharsets.UTF_8));
		CRC32C content = new CRC32C();
		content.update(body.getBytes());
		return head.getValue() << 32 | content.getValue();
	}

	/**
	 * Return whether a request is refused because it crashes servers.
	 * @param fingerprint fingerprint of the request
	 * @return true while it is quarantined
	 */
	boolean isQuarantined(long fingerprint) {
		return this.quarantine.isQuarantined(fingerprint, System.nanoTime());
	}

	/**
	 * Record that a request received a complete response.
	 * @param fingerprint fingerprint of the request
	 */
	void recordCompletion(long fingerprint) {
		this.quarantine.completed(fingerprint);
	}

	/**
	 * Record that a connection was lost while a server ran a request. A lost response
	 * alone is common and harmless; the request becomes a suspect only if the server also
	 * terminates.
	 * @param server the server
	 * @param fingerprint fingerprint of the request
	 * @param lastEventId id of the last event that the server sent, 0 if none
	 */
	void recordLostConnection(ListedServer server, long fingerprint, long lastEventId) {
		this.lostConnections.computeIfAbsent(server.name(), (key) -> new HashMap<>())
			.put(fingerprint, new LostConnection(server.name() + "/" + server.startedMillis(),
					(int) Math.min(Integer.MAX_VALUE, lastEventId), System.nanoTime()));
	}

	/**
	 * Record that an incarnation of a server has terminated without announcing it.
	 * @param name the server
	 */
	void serverTerminated(ServerName name) {
		Map<Long, LostConnection> losses = this.lostConnections.remove(name);
		if (losses == null) {
			return;
		}
		long nowNanos = System.nanoTime();
		losses.forEach((fingerprint, loss) -> {
			if (nowNanos - loss.atNanos() < MAX_LOSS_AGE_NANOS) {
				this.log.log("server-crashed", "", "server", loss.incarnation(), "fingerprint",
						Long.toHexString(fingerprint), "detected_after_millis",
						(nowNanos - loss.atNanos()) / NANOS_PER_MILLI);
				this.quarantine.died(loss.incarnation(), Map.of(fingerprint, loss.lastEventId()), nowNanos);
				if (this.unreportedCrashes.isEmpty()) {
					this.vertx.setTimer(REPORT_BATCH_MILLIS, (id) -> reportCrashes());
				}
				this.unreportedCrashes.computeIfAbsent(loss.incarnation(), (key) -> new HashSet<>()).add(fingerprint);
				scheduleDecision();
			}
		});
	}

	private void reportCrashes() {
		this.unreportedCrashes.forEach((server, fingerprints) -> broadcast(PeerMessage.newBuilder()
			.setServerDeath(ServerDeath.newBuilder().setServer(server).addAllFingerprints(fingerprints))));
		this.unreportedCrashes.clear();
	}

	private void scheduleDecision() {
		this.vertx.setTimer(DECISION_DELAY_MILLIS,
				(id) -> this.quarantine.quarantineCulprits(System.nanoTime()).forEach(this::announceQuarantine));
	}

	private void announceQuarantine(Quarantine.Decision decision) {
		this.log.log("request-quarantined", "", "fingerprint", Long.toHexString(decision.fingerprint()), "servers",
				decision.servers(), "source", "own");
		broadcast(PeerMessage.newBuilder()
			.setQuarantineNotice(QuarantineNotice.newBuilder()
				.setFingerprint(decision.fingerprint())
				.setRemainingMillis((int) (RETENTION_NANOS / NANOS_PER_MILLI))
				.addAllServers(decision.servers())));
	}

	private void broadcast(PeerMessage.Builder message) {
		HostName self = this.peers.members().self().host();
		this.peers.members()
			.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.forEach((member) -> this.peers.call(member.host(), message.clone(), CALL_TIMEOUT_MILLIS));
	}

	private record LostConnection(String incarnation, int lastEventId, long atNanos) {
	}

}
