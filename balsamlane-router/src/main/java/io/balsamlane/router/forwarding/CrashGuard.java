package io.balsamlane.router.forwarding;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.retry.PromptPartQuarantine;
import io.balsamlane.core.retry.Quarantine;
import io.balsamlane.router.forwarding.LostConnections.LostRequest;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.quarantine.PromptPartGuard;
import io.balsamlane.router.quarantine.QuarantineTable;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.QuarantineEntry;
import io.balsamlane.schema.QuarantineNotice;
import io.balsamlane.schema.QuarantineSync;
import io.balsamlane.schema.ServerDeath;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.internal.buffer.BufferInternal;

/**
 * Detects requests and parts of prompts under which backend servers crash, and
 * quarantines them. The routers do this jointly: each reports to the others which of its
 * requests were interrupted on a server that then terminated. All methods run on one
 * event loop.
 */
public final class CrashGuard implements QuarantineTable {

	/**
	 * Number of events after which a request has shown that it does not crash servers.
	 */
	static final int OUTPUT_EVENTS = Quarantine.CLEARING_TOKENS;

	private static final int MAX_CRASHES = 64;

	private static final int MAX_QUARANTINED = 256;

	/** Time within which all routers lose their connections to one crashed server. */
	private static final long CRASH_MERGE_NANOS = 2_000_000_000L;

	/** Callers retry such a request for at most a few minutes. */
	private static final long RETENTION_NANOS = 120_000_000_000L;

	/** Longest time to live of a lease, under which the quarantine is stored. */
	private static final long PART_RETENTION_NANOS = 600_000_000_000L;

	/** Time for a crashing server to close its listening port after its connections. */
	private static final long PROBE_DELAY_MILLIS = 20;

	private static final int PROBE_TIMEOUT_MILLIS = 500;

	/** Crashes within this time are reported to the other routers in one batch. */
	private static final long REPORT_BATCH_MILLIS = 30;

	/** Time after which the other routers' reports about a crash have arrived. */
	private static final long DECISION_DELAY_MILLIS = 250;

	/**
	 * Minimum age of a crash that is decided upon; less than the delay, which timers may
	 * shorten by rounding.
	 */
	private static final long SETTLE_NANOS = 200_000_000L;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final ServerProbe probe;

	private final DecisionLog log;

	private final Quarantine requests = Quarantine.create(MAX_CRASHES, MAX_QUARANTINED, CRASH_MERGE_NANOS, SETTLE_NANOS,
			RETENTION_NANOS);

	private final PromptPartGuard parts;

	private final LostConnections lostConnections = new LostConnections();

	private final Set<ServerName> probing = new HashSet<>();

	private final Map<String, List<LostRequest>> unreportedCrashes = new HashMap<>();

	private final Set<TrackedRequest> inProgress = new LinkedHashSet<>();

	private Consumer<QuarantineEntry> decisionListener = (entry) -> {
	};

	private CrashGuard(Vertx vertx, PeerNetwork peers, ServerProbe probe, DecisionLog log) {
		this.vertx = vertx;
		this.peers = peers;
		this.probe = probe;
		this.log = log;
		// The name of a server contains its start time, so it crashes only once.
		this.parts = PromptPartGuard.create(peers, Runnable::run, PART_RETENTION_NANOS, SETTLE_NANOS,
				PART_RETENTION_NANOS);
	}

	/**
	 * Create a guard that handles the messages of the other routers from now on.
	 * @param vertx the event loop
	 * @param peers the other routers
	 * @param log receives each decision
	 * @return the guard
	 */
	public static CrashGuard create(Vertx vertx, PeerNetwork peers, DecisionLog log) {
		return create(vertx, peers, ServerProbe.byConnecting(vertx, PROBE_TIMEOUT_MILLIS), log);
	}

	static CrashGuard create(Vertx vertx, PeerNetwork peers, ServerProbe probe, DecisionLog log) {
		CrashGuard guard = new CrashGuard(vertx, peers, probe, log);
		peers.register(PeerMessage.BodyCase.SERVER_DEATH,
				(from, message) -> guard.crashReported(message.getServerDeath()));
		peers.register(PeerMessage.BodyCase.PROMPT_PART_QUERY,
				(from, message) -> Future.succeededFuture(guard.parts.answer(message.getPromptPartQuery())));
		peers.register(PeerMessage.BodyCase.QUARANTINE_NOTICE, (from, message) -> {
			QuarantineNotice notice = message.getQuarantineNotice();
			guard.apply(List.of(QuarantineEntry.newBuilder()
				.setValue(notice.getFingerprint())
				.setRemainingMillis(notice.getRemainingMillis())
				.build()), from.getHost());
			return acknowledged();
		});
		return guard;
	}

	private static Future<PeerMessage.Builder> acknowledged() {
		return Future
			.succeededFuture(PeerMessage.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance()));
	}

	/**
	 * Set the listener that is notified of each decision of this router.
	 * @param listener the listener
	 */
	public void setDecisionListener(Consumer<QuarantineEntry> listener) {
		this.decisionListener = listener;
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
		// Without a copy of the body, which may be large.
		for (ByteBuffer part : ((BufferInternal) body).getByteBuf().nioBuffers()) {
			content.update(part);
		}
		return head.getValue() << 32 | content.getValue();
	}

	/**
	 * Return whether a request is refused because it crashes servers.
	 * @param traits properties of the request
	 * @return true while it or a part of its prompt is quarantined
	 */
	boolean isQuarantined(RequestTraits traits) {
		return this.requests.isQuarantined(traits.fingerprint(), System.nanoTime())
				|| this.parts.isQuarantined(traits.promptParts());
	}

	/**
	 * Return the number of requests and prompt parts in quarantine.
	 * @return the number of entries
	 */
	int quarantinedCount() {
		return entries().getEntriesCount();
	}

	/**
	 * Notify a request if it is quarantined while it is in progress.
	 * @param request the request
	 */
	void track(TrackedRequest request) {
		this.inProgress.add(request);
	}

	void untrack(TrackedRequest request) {
		this.inProgress.remove(request);
	}

	/**
	 * Record that a server sent so much output of a request that no part of its prompt
	 * crashes servers.
	 * @param traits properties of the request
	 */
	void recordOutput(RequestTraits traits) {
		this.parts.recordOutput(traits.promptParts());
	}

	/**
	 * Record that a request received a complete response.
	 * @param traits properties of the request
	 */
	void recordCompletion(RequestTraits traits) {
		this.requests.completed(traits.fingerprint());
		recordOutput(traits);
	}

	/**
	 * Record that a connection was lost while a server ran a request. The request becomes
	 * a suspect only if the server has also terminated.
	 * @param lost the request
	 */
	void recordLostConnection(LostRequest lost) {
		this.lostConnections.add(lost);
		ListedServer server = lost.server();
		// The list shows a termination only after seconds, in which further servers would
		// crash.
		if (lost.withoutOutput() && !lost.traits().promptParts().isEmpty() && this.probing.add(server.name())) {
			this.vertx.setTimer(PROBE_DELAY_MILLIS,
					(id) -> this.probe.hasTerminated(server.server().endpoint()).onSuccess((terminated) -> {
						this.probing.remove(server.name());
						if (terminated) {
							serverTerminated(server.name());
						}
					}));
		}
	}

	/**
	 * Record that an incarnation of a server has terminated without announcing it.
	 * @param name the server
	 */
	void serverTerminated(ServerName name) {
		long nowNanos = System.nanoTime();
		this.lostConnections.remove(name, nowNanos)
			.stream()
			.collect(Collectors.groupingBy(LostRequest::incarnation))
			.forEach((incarnation, lost) -> serverCrashed(incarnation, lost, nowNanos));
	}

	private void serverCrashed(String incarnation, List<LostRequest> lost, long nowNanos) {
		long atNanos = lost.stream().mapToLong(LostRequest::lostNanos).min().orElse(nowNanos);
		List<PromptPartQuarantine.Suspect> suspects = suspects(lost);
		this.log.log("server-crashed", "", "server", incarnation, "requests", lost.size(), "suspects", suspects.size(),
				"parts", suspects.stream().map(PromptPartQuarantine.Suspect::parts).toList(), "detected_after_millis",
				(nowNanos - atNanos) / NANOS_PER_MILLI);
		lost.forEach((request) -> this.requests.died(incarnation,
				Map.of(request.traits().fingerprint(), (int) Math.min(Integer.MAX_VALUE, request.lastEventId())),
				nowNanos));
		this.parts.recordCrash(incarnation, suspects, atNanos);
		if (this.unreportedCrashes.isEmpty()) {
			this.vertx.setTimer(REPORT_BATCH_MILLIS, (id) -> reportCrashes());
		}
		this.unreportedCrashes.computeIfAbsent(incarnation, (key) -> new ArrayList<>()).addAll(lost);
		scheduleDecision();
	}

	private static List<PromptPartQuarantine.Suspect> suspects(Collection<LostRequest> lost) {
		return lost.stream()
			.filter((request) -> request.withoutOutput() && !request.traits().promptParts().isEmpty())
			.map((request) -> new PromptPartQuarantine.Suspect(request.traits().promptParts(), request.sentNanos()))
			.toList();
	}

	private void reportCrashes() {
		long nowNanos = System.nanoTime();
		this.unreportedCrashes.forEach((incarnation, lost) -> {
			long atNanos = lost.stream().mapToLong(LostRequest::lostNanos).min().orElse(nowNanos);
			ServerDeath.Builder death = ServerDeath.newBuilder()
				.setServer(incarnation)
				.addAllFingerprints(
						lost.stream().map((request) -> request.traits().fingerprint()).collect(Collectors.toSet()));
			PromptPartGuard.addSuspects(death, suspects(lost), atNanos);
			broadcast(PeerMessage.newBuilder().setServerDeath(death));
		});
		this.unreportedCrashes.clear();
	}

	private static int millis(long nanos) {
		return (int) Math.max(0, Math.min(Integer.MAX_VALUE, nanos / NANOS_PER_MILLI));
	}

	private Future<PeerMessage.Builder> crashReported(ServerDeath death) {
		this.requests.reported(death.getServer(), death.getFingerprintsList(), System.nanoTime());
		this.parts.applyReport(death);
		scheduleDecision();
		return acknowledged();
	}

	private void scheduleDecision() {
		this.vertx.setTimer(DECISION_DELAY_MILLIS, (id) -> decide());
	}

	private void decide() {
		this.requests.quarantineCulprits(System.nanoTime()).forEach(this::announceRequest);
		this.parts.decide((decision) -> {
			this.log.log("prompt-part-quarantined", "", "part", decision.part(), "servers", decision.servers(),
					"source", "own");
			this.parts.entries()
				.stream()
				.filter((entry) -> entry.getValue() == decision.part().value())
				.forEach(this::announced);
		});
	}

	private void announceRequest(Quarantine.Decision decision) {
		this.log.log("request-quarantined", "", "fingerprint", Long.toHexString(decision.fingerprint()), "servers",
				decision.servers(), "source", "own");
		broadcast(PeerMessage.newBuilder()
			.setQuarantineNotice(QuarantineNotice.newBuilder()
				.setFingerprint(decision.fingerprint())
				.setRemainingMillis(millis(RETENTION_NANOS))
				.addAllServers(decision.servers())));
		announced(QuarantineEntry.newBuilder()
			.setKind(QuarantineEntry.Kind.REQUEST)
			.setValue(decision.fingerprint())
			.setRemainingMillis(millis(RETENTION_NANOS))
			.build());
	}

	private void announced(QuarantineEntry entry) {
		this.decisionListener.accept(entry);
		endQuarantinedRequests();
	}

	private void endQuarantinedRequests() {
		List.copyOf(this.inProgress)
			.stream()
			.filter((request) -> isQuarantined(request.traits()))
			.forEach(TrackedRequest::quarantined);
	}

	@Override
	public void apply(List<QuarantineEntry> entries, String source) {
		entries.forEach((entry) -> {
			String value = Long.toHexString(entry.getValue());
			if (entry.getKind() == QuarantineEntry.Kind.REQUEST) {
				if (applyRequest(entry)) {
					this.log.log("request-quarantined", "", "fingerprint", value, "source", source);
				}
			}
			else if (this.parts.apply(entry)) {
				this.log.log("prompt-part-quarantined", "", "part", value, "source", source);
			}
		});
		endQuarantinedRequests();
	}

	private boolean applyRequest(QuarantineEntry entry) {
		long nowNanos = System.nanoTime();
		if (this.requests.isQuarantined(entry.getValue(), nowNanos)) {
			return false;
		}
		this.requests.apply(entry.getValue(), entry.getRemainingMillis() * NANOS_PER_MILLI, nowNanos);
		return true;
	}

	@Override
	public QuarantineSync entries() {
		QuarantineSync.Builder sync = QuarantineSync.newBuilder().addAllEntries(this.parts.entries());
		this.requests.remainingNanos(System.nanoTime())
			.forEach((fingerprint,
					nanos) -> sync.addEntries(QuarantineEntry.newBuilder()
						.setKind(QuarantineEntry.Kind.REQUEST)
						.setValue(fingerprint)
						.setRemainingMillis(millis(nanos))));
		return sync.build();
	}

	private void broadcast(PeerMessage.Builder message) {
		HostName self = this.peers.members().self().host();
		this.peers.members()
			.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.forEach((member) -> this.peers.call(member.host(), message.clone(), CALL_TIMEOUT_MILLIS));
	}

}
