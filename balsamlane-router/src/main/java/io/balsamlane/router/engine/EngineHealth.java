package io.balsamlane.router.engine;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.PromptPart;
import io.balsamlane.core.retry.PromptPartQuarantine;
import io.balsamlane.core.retry.Quarantine;
import io.balsamlane.core.retry.ServerAvailability;
import io.balsamlane.router.engine.EngineClient.ProbeResult;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.router.quarantine.PromptPartGuard;
import io.balsamlane.router.quarantine.QuarantineTable;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.EngineSettings;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.QuarantineEntry;
import io.balsamlane.schema.QuarantineNotice;
import io.balsamlane.schema.QuarantineSync;
import io.balsamlane.schema.ServerDeath;
import io.balsamlane.schema.SuspicionCleared;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Tracks the health of the engines: which of them accept new work, which have died, and
 * which requests and prompt prefixes are quarantined. All methods except
 * {@link #updateHosts} must be called on the event loop of the model requests.
 */
public final class EngineHealth implements QuarantineTable {

	private static final Logger logger = System.getLogger(EngineHealth.class.getName());

	/** Time for the death reports of other routers to arrive before a decision. */
	private static final int REPORT_WAIT_MILLIS = 300;

	private static final int NOTICE_TIMEOUT_MILLIS = 400;

	private static final int MAX_NOTICE_ATTEMPTS = 4;

	/** Time within which cleared requests are collected into one message. */
	private static final int CLEARED_BATCH_MILLIS = 50;

	private static final long DEATH_MERGE_NANOS = 3_000_000_000L;

	/**
	 * Minimum age of a death that is decided upon; less than the time for reports, which
	 * timers may shorten by rounding.
	 */
	private static final long SETTLE_NANOS = 250_000_000L;

	private static final long LEAVING_RETENTION_NANOS = 600_000_000_000L;

	private static final int MAX_SERVERS = 8192;

	private static final int MAX_DEATHS = 64;

	private static final int MAX_QUARANTINED = 10_000;

	private final Context context;

	private final Vertx vertx;

	private final EngineClient engines;

	private final PeerNetwork network;

	private final Timeline timeline;

	private final EngineSettings settings;

	private final ServerAvailability availability;

	private final Quarantine quarantine;

	private final PromptPartGuard prefixes;

	private final Map<String, Map<String, RunningAttempt>> running = new HashMap<>();

	private final Map<Endpoint, Future<ProbeResult>> probes = new HashMap<>();

	private final Set<Long> unsentCleared = new HashSet<>();

	private EngineHealth(Context context, EngineClient engines, PeerNetwork network, Timeline timeline,
			EngineSettings settings) {
		this.context = context;
		this.vertx = context.owner();
		this.engines = engines;
		this.network = network;
		this.timeline = timeline;
		this.settings = settings;
		this.availability = ServerAvailability.create(settings.getFailuresBeforePause(),
				settings.getFailurePauseMillis() * 1_000_000L, LEAVING_RETENTION_NANOS, MAX_SERVERS);
		this.quarantine = Quarantine.create(MAX_DEATHS, MAX_QUARANTINED, DEATH_MERGE_NANOS, SETTLE_NANOS,
				settings.getQuarantineSeconds() * 1_000_000_000L);
		this.prefixes = PromptPartGuard.create(network, this::execute, DEATH_MERGE_NANOS, SETTLE_NANOS,
				settings.getQuarantineSeconds() * 1_000_000_000L);
		network.register(PeerMessage.BodyCase.SERVER_DEATH,
				(from, message) -> onContext(() -> applyReport(message.getServerDeath())));
		network.register(PeerMessage.BodyCase.PROMPT_PART_QUERY, (from, message) -> {
			Promise<PeerMessage.Builder> reply = Promise.promise();
			execute(() -> reply.complete(this.prefixes.answer(message.getPromptPartQuery())));
			return reply.future();
		});
		network.register(PeerMessage.BodyCase.SUSPICION_CLEARED, (from, message) -> onContext(
				() -> message.getSuspicionCleared().getFingerprintsList().forEach(this.quarantine::completed)));
		network.register(PeerMessage.BodyCase.QUARANTINE_NOTICE,
				(from, message) -> onContext(() -> applyNotice(message.getQuarantineNotice())));
	}

	/**
	 * Create the health state without any recorded events.
	 * @param context the event loop of the model requests
	 * @param engines client for the engines
	 * @param network the network of routers
	 * @param timeline records health events
	 * @param settings limits and times of engines
	 * @return the health state
	 */
	public static EngineHealth create(Context context, EngineClient engines, PeerNetwork network, Timeline timeline,
			EngineSettings settings) {
		return new EngineHealth(context, engines, network, timeline, settings);
	}

	private void execute(Runnable action) {
		this.context.runOnContext((ignored) -> action.run());
	}

	private void applyReport(ServerDeath death) {
		this.quarantine.reported(death.getServer(), death.getFingerprintsList(), System.nanoTime());
		this.prefixes.applyReport(death);
		this.vertx.setTimer(REPORT_WAIT_MILLIS, (id) -> quarantinePrefixes());
	}

	private Future<PeerMessage.Builder> onContext(Runnable action) {
		Promise<PeerMessage.Builder> reply = Promise.promise();
		this.context.runOnContext((ignored) -> {
			action.run();
			reply.complete(PeerMessage.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance()));
		});
		return reply.future();
	}

	/**
	 * Apply the host list. This method may be called on any thread.
	 * @param hosts the host list
	 */
	public void updateHosts(HostList hosts) {
		this.context.runOnContext((ignored) -> hosts.servers()
			.forEach((server) -> this.availability.listed(server.name().value(), server.leaving())));
	}

	/**
	 * Return whether an engine accepts new work.
	 * @param server the engine
	 * @return true unless the engine is leaving or paused after failures
	 */
	public boolean isAvailable(String server) {
		return this.availability.available(server, System.nanoTime());
	}

	/**
	 * Record that an engine answered that it is leaving.
	 * @param server the engine
	 */
	public void recordLeaving(String server) {
		if (isAvailable(server)) {
			this.timeline.record(EventKind.SERVER_LEAVING, "", 0, server, "announced by the engine");
		}
		this.availability.announcedLeaving(server, System.nanoTime());
	}

	/**
	 * Record that an engine completed its work.
	 * @param server the engine
	 */
	public void recordSuccess(String server) {
		this.availability.succeeded(server);
	}

	/**
	 * Record that no connection to an engine could be opened.
	 * @param server the engine
	 */
	public void recordUnreachable(String server) {
		this.availability.died(server, System.nanoTime());
	}

	/**
	 * Record that an attempt runs on an engine.
	 * @param server the engine
	 * @param attempt request id and attempt number
	 * @param fingerprint fingerprint of the request
	 * @param prefixes prefixes of its prompt, shortest first
	 * @param delivered supplies the number of tokens that the request has yielded
	 */
	public void recordAttemptStart(String server, String attempt, long fingerprint, List<PromptPart> prefixes,
			IntSupplier delivered) {
		this.running.computeIfAbsent(server, (name) -> new HashMap<>())
			.put(attempt,
					new RunningAttempt(fingerprint, prefixes, delivered, delivered.getAsInt(), System.nanoTime()));
	}

	/**
	 * Record that an attempt no longer runs on an engine.
	 * @param server the engine
	 * @param attempt request id and attempt number
	 */
	public void recordAttemptEnd(String server, String attempt) {
		this.running.computeIfPresent(server, (name, attempts) -> {
			attempts.remove(attempt);
			return attempts.isEmpty() ? null : attempts;
		});
	}

	/**
	 * Probe an engine whose stream broke or made no progress. A dead engine is reported
	 * to the other routers with the requests that ran on it; the connections to a live
	 * engine are replaced. Calls that arrive during a probe share its result.
	 * @param server the engine
	 * @param endpoint address of the engine
	 * @return the result of the probe
	 */
	public Future<ProbeResult> diagnose(String server, Endpoint endpoint) {
		Future<ProbeResult> present = this.probes.get(endpoint);
		if (present != null) {
			return present;
		}
		Future<ProbeResult> probe = this.engines.probe(endpoint).map((result) -> {
			this.probes.remove(endpoint);
			applyProbeResult(server, endpoint, result);
			return result;
		});
		if (!probe.isComplete()) {
			this.probes.put(endpoint, probe);
		}
		return probe;
	}

	private void applyProbeResult(String server, Endpoint endpoint, ProbeResult result) {
		long nowNanos = System.nanoTime();
		if (result == ProbeResult.ALIVE) {
			this.engines.dropConnections(endpoint);
			this.availability.failed(server, nowNanos);
			return;
		}
		if (result == ProbeResult.SILENT) {
			this.availability.unresponsive(server, nowNanos);
			return;
		}
		this.availability.died(server, nowNanos);
		Map<Long, Integer> suspects = new HashMap<>();
		this.running.getOrDefault(server, Map.of())
			.values()
			.forEach((attempt) -> suspects.merge(attempt.fingerprint(), attempt.delivered().getAsInt(), Math::max));
		if (suspects.isEmpty()) {
			return;
		}
		this.quarantine.died(server, suspects, nowNanos);
		List<PromptPartQuarantine.Suspect> withoutOutput = this.running.get(server)
			.values()
			.stream()
			.filter((attempt) -> !attempt.prefixes().isEmpty() && !attempt.hasOutput())
			.map((attempt) -> new PromptPartQuarantine.Suspect(attempt.prefixes(), attempt.startedNanos()))
			.toList();
		this.prefixes.recordCrash(server, withoutOutput, nowNanos);
		logger.log(Level.WARNING, "Engine {0} died while it was running {1} requests of this router", server,
				suspects.size());
		ServerDeath.Builder death = ServerDeath.newBuilder().setServer(server).addAllFingerprints(suspects.keySet());
		PromptPartGuard.addSuspects(death, withoutOutput, nowNanos);
		broadcast(PeerMessage.newBuilder().setServerDeath(death).build());
		this.vertx.setTimer(REPORT_WAIT_MILLIS, (id) -> quarantineCulprits());
	}

	private void quarantineCulprits() {
		this.quarantine.quarantineCulprits(System.nanoTime()).forEach((decision) -> {
			recordQuarantine(decision.fingerprint(), "common to the deaths of engines " + decision.servers());
			broadcast(PeerMessage.newBuilder()
				.setQuarantineNotice(QuarantineNotice.newBuilder()
					.setFingerprint(decision.fingerprint())
					.setRemainingMillis(this.settings.getQuarantineSeconds() * 1000)
					.addAllServers(decision.servers()))
				.build());
		});
		quarantinePrefixes();
	}

	private void quarantinePrefixes() {
		this.prefixes.decide((decision) -> recordQuarantine(decision.part().value(),
				"prompt prefix common to the deaths of engines " + decision.servers()));
	}

	@Override
	public QuarantineSync entries() {
		QuarantineSync.Builder sync = QuarantineSync.newBuilder().addAllEntries(this.prefixes.entries());
		this.quarantine.remainingNanos(System.nanoTime())
			.forEach((fingerprint,
					nanos) -> sync.addEntries(QuarantineEntry.newBuilder()
						.setKind(QuarantineEntry.Kind.REQUEST)
						.setValue(fingerprint)
						.setRemainingMillis((int) (nanos / 1_000_000))));
		return sync.build();
	}

	@Override
	public void apply(List<QuarantineEntry> entries, String source) {
		entries.forEach((entry) -> {
			if (entry.getKind() == QuarantineEntry.Kind.PROMPT_PART) {
				if (this.prefixes.apply(entry)) {
					recordQuarantine(entry.getValue(), "prompt prefix, reported by " + source);
				}
			}
			else if (!isQuarantined(entry.getValue())) {
				this.quarantine.apply(entry.getValue(), entry.getRemainingMillis() * 1_000_000L, System.nanoTime());
				recordQuarantine(entry.getValue(), "reported by " + source);
			}
		});
	}

	private void recordQuarantine(long fingerprint, String detail) {
		this.timeline.record(EventKind.FINGERPRINT_QUARANTINED, "", 0, Long.toUnsignedString(fingerprint, 16), detail);
	}

	private void applyNotice(QuarantineNotice notice) {
		this.quarantine.apply(notice.getFingerprint(), notice.getRemainingMillis() * 1_000_000L, System.nanoTime());
		recordQuarantine(notice.getFingerprint(), "reported by another router");
	}

	private void broadcast(PeerMessage message) {
		HostName self = this.network.members().self().host();
		this.network.members()
			.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.forEach((member) -> send(member.host(), message, MAX_NOTICE_ATTEMPTS));
	}

	private void send(HostName host, PeerMessage message, int attempts) {
		this.network.call(host, message.toBuilder(), NOTICE_TIMEOUT_MILLIS).onSuccess((reply) -> {
			if (!(reply instanceof PeerReply.Answered) && attempts > 1) {
				this.vertx.setTimer(NOTICE_TIMEOUT_MILLIS / 2, (id) -> send(host, message, attempts - 1));
			}
		});
	}

	/**
	 * Return whether a request is quarantined.
	 * @param fingerprint fingerprint of the request
	 * @return true while the request is refused
	 */
	public boolean isQuarantined(long fingerprint) {
		return this.quarantine.isQuarantined(fingerprint, System.nanoTime());
	}

	/**
	 * Return whether a request is quarantined, itself or because of its prompt.
	 * @param fingerprint fingerprint of the request
	 * @param prefixes prefixes of its prompt
	 * @return true while the request is refused
	 */
	public boolean isQuarantined(long fingerprint, List<PromptPart> prefixes) {
		return isQuarantined(fingerprint) || this.prefixes.isQuarantined(prefixes);
	}

	/**
	 * Return whether a request that was running on an engine when it died may run again,
	 * once the quarantine decision has been made.
	 * @param fingerprint fingerprint of the request
	 * @param prefixes prefixes of its prompt
	 * @return true if the request may run again
	 */
	public Future<Boolean> awaitRetryPermission(long fingerprint, List<PromptPart> prefixes) {
		if (this.quarantine.deathCount(fingerprint) < 2) {
			return Future.succeededFuture(!isQuarantined(fingerprint, prefixes));
		}
		Promise<Boolean> decided = Promise.promise();
		// The timer of the decision was set earlier and is shorter, so it fires first.
		this.vertx.setTimer(REPORT_WAIT_MILLIS + 1, (id) -> decided.complete(!isQuarantined(fingerprint, prefixes)));
		return decided.future();
	}

	/**
	 * Return whether a server died while it was running a request and the request has not
	 * been cleared of that death.
	 * @param fingerprint fingerprint of the request
	 * @return true while the request is suspected
	 */
	public boolean isSuspected(long fingerprint) {
		return this.quarantine.deathCount(fingerprint) > 0;
	}

	/**
	 * Record progress of a suspected request.
	 * @param fingerprint fingerprint of the request
	 * @param delivered number of tokens that the request has yielded
	 */
	public void recordProgress(long fingerprint, int delivered) {
		if (this.quarantine.progressed(fingerprint, delivered)) {
			scheduleCleared(fingerprint);
		}
	}

	/**
	 * Record that a suspected request was completed.
	 * @param fingerprint fingerprint of the request
	 */
	public void recordCompletion(long fingerprint) {
		if (this.quarantine.completed(fingerprint)) {
			scheduleCleared(fingerprint);
		}
	}

	/**
	 * Record that an engine yielded output of a request, so its prompt does not crash
	 * engines.
	 * @param prefixes prefixes of the prompt
	 */
	public void recordOutput(List<PromptPart> prefixes) {
		this.prefixes.recordOutput(prefixes);
	}

	private void scheduleCleared(long fingerprint) {
		if (this.unsentCleared.isEmpty()) {
			this.vertx.setTimer(CLEARED_BATCH_MILLIS, (id) -> {
				broadcast(PeerMessage.newBuilder()
					.setSuspicionCleared(SuspicionCleared.newBuilder().addAllFingerprints(this.unsentCleared))
					.build());
				this.unsentCleared.clear();
			});
		}
		this.unsentCleared.add(fingerprint);
	}

	/**
	 * Choose the server on which a suspected request runs separately from the other
	 * suspects, so that another server death identifies the cause.
	 * @param fingerprint fingerprint of the request
	 * @param servers the servers that may run the request
	 * @return the server, or empty if there is none
	 */
	public Optional<String> isolationServer(long fingerprint, List<String> servers) {
		List<String> ordered = servers.stream().distinct().sorted().toList();
		return ordered.isEmpty() ? Optional.empty()
				: Optional.of(ordered.get(this.quarantine.suspectIndex(fingerprint) % ordered.size()));
	}

	/**
	 * Return whether a suspected request may run now or should wait for other suspects.
	 * After one death there may be more suspects than servers, so none of them waits.
	 * After two deaths each suspect runs alone, so those in excess of the servers wait.
	 * @param fingerprint fingerprint of the request
	 * @param servers number of servers that may run the request
	 * @return false if the request should wait until other suspects are cleared
	 */
	public boolean mayRunNow(long fingerprint, int servers) {
		return this.quarantine.deathCount(fingerprint) < 2 || this.quarantine.suspectIndex(fingerprint) < servers;
	}

	/**
	 * Return which of the given servers should not receive new work. If all of them are
	 * unavailable, only those that cannot accept work are returned, because they are
	 * leaving or dead.
	 * @param servers the servers to check
	 * @return the servers to avoid
	 */
	public List<String> unavailableServers(List<String> servers) {
		List<String> unavailable = servers.stream().filter((server) -> !isAvailable(server)).toList();
		return (unavailable.size() < servers.size()) ? unavailable
				: servers.stream()
					.filter((server) -> !this.availability.availableAsLastResort(server, System.nanoTime()))
					.toList();
	}

	private record RunningAttempt(long fingerprint, List<PromptPart> prefixes, IntSupplier delivered,
			int deliveredBefore, long startedNanos) {

		boolean hasOutput() {
			return this.delivered.getAsInt() - this.deliveredBefore >= Quarantine.CLEARING_TOKENS;
		}

	}

}
