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
 * Finds requests that crash the servers that run them, together with the other routers:
 * each tells the others which of its requests broke on a server that ended. Runs on one
 * event loop.
 */
public final class CrashGuard {

	private static final int MAX_DEATHS = 64;

	private static final int MAX_QUARANTINED = 256;

	/** Connections of one dead server break within this time, seen from all routers. */
	private static final long MERGE_NANOS = 2_000_000_000L;

	/** Callers repeat such a request for minutes at most. */
	private static final long RETENTION_NANOS = 120_000_000_000L;

	/** The list shows the end of a server three heartbeats after it, and some lag. */
	private static final long BREAK_NANOS = 8_000_000_000L;

	/** Breaks of one server within this time are told together. */
	private static final long GATHER_MILLIS = 30;

	/** Time after which the reports of the others about a death have arrived. */
	private static final long DECIDE_MILLIS = 250;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final DecisionLog log;

	private final Quarantine quarantine = Quarantine.create(MAX_DEATHS, MAX_QUARANTINED, MERGE_NANOS, RETENTION_NANOS);

	private final Map<String, Set<Long>> untold = new HashMap<>();

	private final Map<ServerName, Map<Long, Break>> broken = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<ServerName, Map<Long, Break>> eldest) {
			return size() > MAX_DEATHS;
		}

	};

	private CrashGuard(Vertx vertx, PeerNetwork peers, DecisionLog log) {
		this.vertx = vertx;
		this.peers = peers;
		this.log = log;
	}

	/**
	 * Creates a guard and listens to the other routers from now on.
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
			guard.decideLater();
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
	 * Computes what identifies a request that comes again.
	 * @param request the request
	 * @param body its body
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
	 * Tells whether a request is refused because it crashes servers.
	 * @param fingerprint the request
	 * @return true while it is quarantined
	 */
	boolean refuses(long fingerprint) {
		return this.quarantine.isQuarantined(fingerprint, System.nanoTime());
	}

	/**
	 * Notes that a request was answered whole.
	 * @param fingerprint the request
	 */
	void completed(long fingerprint) {
		this.quarantine.completed(fingerprint);
	}

	/**
	 * Notes that a connection broke while a server ran a request. Many servers lose an
	 * answer now and then; only the end of the server makes the request a suspect.
	 * @param server the server
	 * @param fingerprint the request
	 * @param lastEventId last event that the server sent, 0 if none
	 */
	void broke(ListedServer server, long fingerprint, long lastEventId) {
		this.broken.computeIfAbsent(server.name(), (key) -> new HashMap<>())
			.put(fingerprint, new Break(server.name() + "/" + server.startedMillis(),
					(int) Math.min(Integer.MAX_VALUE, lastEventId), System.nanoTime()));
	}

	/**
	 * Notes that an incarnation of a server has ended without notice.
	 * @param name the server
	 */
	void ended(ServerName name) {
		Map<Long, Break> breaks = this.broken.remove(name);
		if (breaks == null) {
			return;
		}
		long nowNanos = System.nanoTime();
		breaks.forEach((fingerprint, found) -> {
			if (nowNanos - found.atNanos() < BREAK_NANOS) {
				this.quarantine.died(found.incarnation(), Map.of(fingerprint, found.lastEventId()), nowNanos);
				if (this.untold.isEmpty()) {
					this.vertx.setTimer(GATHER_MILLIS, (id) -> tell());
				}
				this.untold.computeIfAbsent(found.incarnation(), (key) -> new HashSet<>()).add(fingerprint);
				decideLater();
			}
		});
	}

	private void tell() {
		this.untold.forEach((server, fingerprints) -> broadcast(PeerMessage.newBuilder()
			.setServerDeath(ServerDeath.newBuilder().setServer(server).addAllFingerprints(fingerprints))));
		this.untold.clear();
	}

	private void decideLater() {
		this.vertx.setTimer(DECIDE_MILLIS,
				(id) -> this.quarantine.quarantineCulprits(System.nanoTime()).forEach(this::decided));
	}

	private void decided(Quarantine.Decision decision) {
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

	private record Break(String incarnation, int lastEventId, long atNanos) {
	}

}
