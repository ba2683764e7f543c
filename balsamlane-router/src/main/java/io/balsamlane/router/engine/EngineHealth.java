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
import io.balsamlane.core.retry.Quarantine;
import io.balsamlane.core.retry.ServerAvailability;
import io.balsamlane.router.engine.EngineClient.ProbeResult;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.EngineSettings;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.QuarantineNotice;
import io.balsamlane.schema.ServerDeath;
import io.balsamlane.schema.SuspicionCleared;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * What this router knows of its engines: which get new work, which have died, and which
 * requests are quarantined. All methods but {@link #hostsChanged} must be called on the
 * event loop of the model path.
 */
public final class EngineHealth {

	private static final Logger logger = System.getLogger(EngineHealth.class.getName());

	/** Time for the reports of other routers to arrive before a decision. */
	private static final int SETTLE_MILLIS = 300;

	private static final int NOTICE_TIMEOUT_MILLIS = 400;

	private static final int NOTICE_TRIES = 4;

	/** Requests that are cleared within this time are told together. */
	private static final int GATHER_MILLIS = 50;

	private static final long MERGE_NANOS = 3_000_000_000L;

	private static final long LEAVING_NANOS = 600_000_000_000L;

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

	private final Map<String, Map<String, Running>> running = new HashMap<>();

	private final Map<Endpoint, Future<ProbeResult>> probes = new HashMap<>();

	private final Set<Long> untoldCleared = new HashSet<>();

	private EngineHealth(Context context, EngineClient engines, PeerNetwork network, Timeline timeline,
			EngineSettings settings) {
		this.context = context;
		this.vertx = context.owner();
		this.engines = engines;
		this.network = network;
		this.timeline = timeline;
		this.settings = settings;
		this.availability = ServerAvailability.create(settings.getFailuresBeforePause(),
				settings.getFailurePauseMillis() * 1_000_000L, LEAVING_NANOS, MAX_SERVERS);
		this.quarantine = Quarantine.create(MAX_DEATHS, MAX_QUARANTINED, MERGE_NANOS,
				settings.getQuarantineSeconds() * 1_000_000_000L);
		network.register(PeerMessage.BodyCase.SERVER_DEATH,
				(from, message) -> onContext(() -> this.quarantine.reported(message.getServerDeath().getServer(),
						message.getServerDeath().getFingerprintsList(), System.nanoTime())));
		network.register(PeerMessage.BodyCase.SUSPICION_CLEARED, (from, message) -> onContext(
				() -> message.getSuspicionCleared().getFingerprintsList().forEach(this.quarantine::completed)));
		network.register(PeerMessage.BodyCase.QUARANTINE_NOTICE,
				(from, message) -> onContext(() -> learn(message.getQuarantineNotice())));
	}

	/**
	 * Creates the state without knowledge.
	 * @param context the event loop of the model path
	 * @param engines access to engines
	 * @param network the other routers
	 * @param timeline receives events
	 * @param settings limits
	 * @return the state
	 */
	public static EngineHealth create(Context context, EngineClient engines, PeerNetwork network, Timeline timeline,
			EngineSettings settings) {
		return new EngineHealth(context, engines, network, timeline, settings);
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
	 * Takes over what the host list shows. May be called on any thread.
	 * @param hosts the host list
	 */
	public void hostsChanged(HostList hosts) {
		this.context.runOnContext((ignored) -> hosts.servers()
			.forEach((server) -> this.availability.listed(server.name().value(), server.leaving())));
	}

	/**
	 * Tells whether an engine may get new work.
	 * @param server the engine
	 * @return true if nothing speaks against it
	 */
	public boolean available(String server) {
		return this.availability.available(server, System.nanoTime());
	}

	/**
	 * Records that an engine answered that it is leaving.
	 * @param server the engine
	 */
	public void saidLeaving(String server) {
		if (available(server)) {
			this.timeline.record(EventKind.SERVER_LEAVING, "", 0, server, "by its own answer");
		}
		this.availability.announcedLeaving(server, System.nanoTime());
	}

	/**
	 * Records that an engine did its work.
	 * @param server the engine
	 */
	public void succeeded(String server) {
		this.availability.succeeded(server);
	}

	/**
	 * Records that no connection to an engine could be opened.
	 * @param server the engine
	 */
	public void unreachable(String server) {
		this.availability.died(server, System.nanoTime());
	}

	/**
	 * Records that an attempt runs on an engine.
	 * @param server the engine
	 * @param attempt request id and attempt number
	 * @param fingerprint fingerprint of the request
	 * @param delivered returns the tokens that the request has yielded
	 */
	public void started(String server, String attempt, long fingerprint, IntSupplier delivered) {
		this.running.computeIfAbsent(server, (name) -> new HashMap<>())
			.put(attempt, new Running(fingerprint, delivered));
	}

	/**
	 * Records that an attempt no longer runs on an engine.
	 * @param server the engine
	 * @param attempt request id and attempt number
	 */
	public void stopped(String server, String attempt) {
		this.running.computeIfPresent(server, (name, attempts) -> {
			attempts.remove(attempt);
			return attempts.isEmpty() ? null : attempts;
		});
	}

	/**
	 * Finds out why an engine's stream broke or fell silent, and draws the consequences:
	 * a dead engine is reported with what ran on it, the connections to a living one are
	 * replaced.
	 * @param server the engine
	 * @param endpoint its address
	 * @return what the probe found
	 */
	public Future<ProbeResult> diagnose(String server, Endpoint endpoint) {
		Future<ProbeResult> present = this.probes.get(endpoint);
		if (present != null) {
			return present;
		}
		Future<ProbeResult> probe = this.engines.probe(endpoint).map((result) -> {
			this.probes.remove(endpoint);
			draw(server, endpoint, result);
			return result;
		});
		if (!probe.isComplete()) {
			this.probes.put(endpoint, probe);
		}
		return probe;
	}

	private void draw(String server, Endpoint endpoint, ProbeResult result) {
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
		logger.log(Level.WARNING, "Engine {0} died while it ran {1} requests of this router", server, suspects.size());
		broadcast(PeerMessage.newBuilder()
			.setServerDeath(ServerDeath.newBuilder().setServer(server).addAllFingerprints(suspects.keySet()))
			.build());
		this.vertx.setTimer(SETTLE_MILLIS, (id) -> decide());
	}

	private void decide() {
		this.quarantine.quarantineCulprits(System.nanoTime()).forEach((decision) -> {
			this.timeline.record(EventKind.FINGERPRINT_QUARANTINED, "", 0,
					Long.toUnsignedString(decision.fingerprint(), 16), "two engines died: " + decision.servers());
			broadcast(PeerMessage.newBuilder()
				.setQuarantineNotice(QuarantineNotice.newBuilder()
					.setFingerprint(decision.fingerprint())
					.setRemainingMillis(this.settings.getQuarantineSeconds() * 1000)
					.addAllServers(decision.servers()))
				.build());
		});
	}

	private void learn(QuarantineNotice notice) {
		this.quarantine.apply(notice.getFingerprint(), notice.getRemainingMillis() * 1_000_000L, System.nanoTime());
		this.timeline.record(EventKind.FINGERPRINT_QUARANTINED, "", 0,
				Long.toUnsignedString(notice.getFingerprint(), 16), "told by another router");
	}

	private void broadcast(PeerMessage message) {
		HostName self = this.network.members().self().host();
		this.network.members()
			.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.forEach((member) -> send(member.host(), message, NOTICE_TRIES));
	}

	private void send(HostName host, PeerMessage message, int tries) {
		this.network.call(host, message.toBuilder(), NOTICE_TIMEOUT_MILLIS).onSuccess((reply) -> {
			if (!(reply instanceof PeerReply.Answered) && tries > 1) {
				this.vertx.setTimer(NOTICE_TIMEOUT_MILLIS / 2, (id) -> send(host, message, tries - 1));
			}
		});
	}

	/**
	 * Tells whether a request is quarantined.
	 * @param fingerprint the request
	 * @return true while it is refused
	 */
	public boolean quarantined(long fingerprint) {
		return this.quarantine.isQuarantined(fingerprint, System.nanoTime());
	}

	/**
	 * Waits until it is decided whether a request that saw an engine die may run again.
	 * @param fingerprint the request
	 * @return true if it may
	 */
	public Future<Boolean> mayRunAgain(long fingerprint) {
		if (this.quarantine.deathCount(fingerprint) < 2) {
			return Future.succeededFuture(!quarantined(fingerprint));
		}
		Promise<Boolean> decided = Promise.promise();
		// The decision's own timer was set before this one and so runs first.
		this.vertx.setTimer(SETTLE_MILLIS + 1, (id) -> decided.complete(!quarantined(fingerprint)));
		return decided.future();
	}

	/**
	 * Tells whether a server died while it ran a request and the request has not been
	 * cleared of it.
	 * @param fingerprint the request
	 * @return true while it is suspected
	 */
	public boolean suspected(long fingerprint) {
		return this.quarantine.deathCount(fingerprint) > 0;
	}

	/**
	 * Records progress of a suspected request.
	 * @param fingerprint the request
	 * @param delivered tokens that it has yielded
	 */
	public void progressed(long fingerprint, int delivered) {
		if (this.quarantine.progressed(fingerprint, delivered)) {
			tellCleared(fingerprint);
		}
	}

	/**
	 * Records that a suspected request was completed.
	 * @param fingerprint the request
	 */
	public void completed(long fingerprint) {
		if (this.quarantine.completed(fingerprint)) {
			tellCleared(fingerprint);
		}
	}

	private void tellCleared(long fingerprint) {
		if (this.untoldCleared.isEmpty()) {
			this.vertx.setTimer(GATHER_MILLIS, (id) -> {
				broadcast(PeerMessage.newBuilder()
					.setSuspicionCleared(SuspicionCleared.newBuilder().addAllFingerprints(this.untoldCleared))
					.build());
				this.untoldCleared.clear();
			});
		}
		this.untoldCleared.add(fingerprint);
	}

	/**
	 * Chooses the server on which a suspected request runs apart from the others, so that
	 * another death tells them apart.
	 * @param fingerprint the request
	 * @param servers the servers that may run it
	 * @return the server, empty if there is none
	 */
	public Optional<String> serverApart(long fingerprint, List<String> servers) {
		List<String> ordered = servers.stream().distinct().sorted().toList();
		return ordered.isEmpty() ? Optional.empty()
				: Optional.of(ordered.get(this.quarantine.suspectIndex(fingerprint) % ordered.size()));
	}

	/**
	 * Tells whether a suspected request can run apart from the others now. After one
	 * death there may be more suspects than servers, after two each runs alone.
	 * @param fingerprint the request
	 * @param servers number of servers that may run it
	 * @return false if it should wait until others are cleared
	 */
	public boolean hasTurn(long fingerprint, int servers) {
		return this.quarantine.deathCount(fingerprint) < 2 || this.quarantine.suspectIndex(fingerprint) < servers;
	}

	/**
	 * Returns the servers among some that should not get new work. If that leaves none,
	 * only those are named that must not, because they are leaving or gone.
	 * @param servers the servers
	 * @return the servers to avoid
	 */
	public List<String> unavailable(List<String> servers) {
		List<String> avoided = servers.stream().filter((server) -> !available(server)).toList();
		return (avoided.size() < servers.size()) ? avoided
				: servers.stream()
					.filter((server) -> !this.availability.availableAsLastResort(server, System.nanoTime()))
					.toList();
	}

	private record Running(long fingerprint, IntSupplier delivered) {
	}

}
