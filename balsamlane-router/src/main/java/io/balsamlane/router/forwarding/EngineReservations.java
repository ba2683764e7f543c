package io.balsamlane.router.forwarding;

import java.util.Optional;
import java.util.function.Supplier;

import io.balsamlane.core.forwarding.AdmissionLimits;
import io.balsamlane.core.forwarding.EngineWork;
import io.balsamlane.core.forwarding.FleetRoles;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.EngineReservation;
import io.balsamlane.schema.EngineReservationReply;
import io.balsamlane.schema.EngineWorkEntry;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * Confirms that an engine has free capacity before the prefill of a request is started.
 * Work reports are 5 to 100 ms old, so several routers may claim the same free capacity,
 * for example that of an engine that has just been listed. One router of the engine's
 * region decides, see {@link FleetRoles#collectorOf}. If this collector does not reply in
 * time, the request proceeds: the engine itself refuses requests beyond its capacity.
 */
public final class EngineReservations {

	/**
	 * Two network transfers of 20 ms between regions, and time for the collector's other
	 * work.
	 */
	private static final long CALL_TIMEOUT_MILLIS = 150;

	private final PeerNetwork peers;

	private final SharedLoadPlacement engines;

	private final Supplier<FleetRoles> roles;

	private final DecisionLog log;

	private EngineReservations(PeerNetwork peers, SharedLoadPlacement engines, Supplier<FleetRoles> roles,
			DecisionLog log) {
		this.peers = peers;
		this.engines = engines;
		this.roles = roles;
		this.log = log;
	}

	/**
	 * Create the reservations, which reply to other routers from now on.
	 * @param peers the other routers
	 * @param engines the placement that tracks the work on engines
	 * @param roles returns the current collectors
	 * @param log receives denied and unanswered reservations
	 * @return the reservations
	 */
	public static EngineReservations create(PeerNetwork peers, SharedLoadPlacement engines, Supplier<FleetRoles> roles,
			DecisionLog log) {
		EngineReservations reservations = new EngineReservations(peers, engines, roles, log);
		peers.register(PeerMessage.BodyCase.ENGINE_RESERVATION,
				(from, message) -> Future.succeededFuture(PeerMessage.newBuilder()
					.setEngineReservationReply(
							reservations.decide(HostName.of(from.getHost()), message.getEngineReservation()))));
		return reservations;
	}

	private EngineReservationReply decide(HostName from, EngineReservation reservation) {
		long nowNanos = System.nanoTime();
		ServerName engine = ServerName.of(reservation.getServer());
		boolean granted = this.engines.reserve(from, engine,
				new AdmissionLimits(reservation.getMaxKvTokens(), reservation.getMaxRequests()),
				reservation.getKvTokens(), nowNanos);
		EngineWork others = this.engines.work(engine, nowNanos)
			.minus(this.engines.reportedWork().workReportedBy(from, nowNanos).getOrDefault(engine, EngineWork.NONE));
		return EngineReservationReply.newBuilder()
			.setGranted(granted)
			.setOthers(EngineWorkEntry.newBuilder()
				.setServer(engine.value())
				.setPendingTokens(others.pendingTokens())
				.setRequests(others.requests())
				.setKvTokens(others.kvTokens()))
			.build();
	}

	/**
	 * Request capacity for a request that this router already counts in its own work.
	 * @param requestId id of the request, for the log
	 * @param engine the engine
	 * @param limits admission limits of the engine
	 * @param kvTokens maximum number of tokens that the request holds in the KV cache
	 * @return true if the request may be sent; completes immediately if this router
	 * decides
	 */
	Future<Boolean> confirm(String requestId, ListedServer engine, AdmissionLimits limits, long kvTokens) {
		Optional<HostName> collector = this.roles.get().collectorOf(engine.server().region());
		if (collector.isEmpty() || collector.get().equals(this.peers.members().self().host())) {
			// The choice of the engine already considered all reports and reservations.
			return Future.succeededFuture(true);
		}
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setEngineReservation(EngineReservation.newBuilder()
				.setServer(engine.name().value())
				.setKvTokens(kvTokens)
				.setMaxKvTokens(limits.maxKvTokens())
				.setMaxRequests(limits.maxRequests()));
		return this.peers.call(collector.get(), message, CALL_TIMEOUT_MILLIS)
			.map((reply) -> granted(requestId, engine, collector.get(), reply));
	}

	private boolean granted(String requestId, ListedServer engine, HostName collector, PeerReply reply) {
		if (!(reply instanceof PeerReply.Answered answered) || !answered.message().hasEngineReservationReply()) {
			this.log.log("reservation-unanswered", requestId, "server", engine.name(), "collector", collector);
			return true;
		}
		EngineReservationReply decision = answered.message().getEngineReservationReply();
		if (!decision.getGranted()) {
			EngineWorkEntry others = decision.getOthers();
			this.engines.reportedWork()
				.applyCorrection(engine.name(),
						new EngineWork(others.getPendingTokens(), others.getRequests(), others.getKvTokens()));
			this.log.log("reservation-denied", requestId, "server", engine.name(), "collector", collector, "requests",
					others.getRequests(), "kv_tokens", others.getKvTokens());
		}
		return decision.getGranted();
	}

}
