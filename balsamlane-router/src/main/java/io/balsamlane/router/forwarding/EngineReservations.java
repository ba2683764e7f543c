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
 * Confirms in a large fleet that an engine has room, before a prompt is read for it.
 * Reports of work are some 100 ms old there, in which several routers may see the same
 * room. The router that collects the work of the engine's region decides. A collector
 * that does not answer in time does not hold requests up: the engine itself refuses what
 * is too much.
 */
public final class EngineReservations {

	/** Two trips between regions of 20 ms each and the collector's other work. */
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
	 * Creates the reservations and answers other routers from now on.
	 * @param peers the other routers
	 * @param engines the placement whose work counts
	 * @param roles returns who collects the work at present
	 * @param log receives calls without answer
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

	private EngineReservationReply decide(HostName from, EngineReservation asked) {
		long nowNanos = System.nanoTime();
		ServerName engine = ServerName.of(asked.getServer());
		boolean granted = this.engines.reserve(from, engine,
				new AdmissionLimits(asked.getMaxKvTokens(), asked.getMaxRequests()), asked.getKvTokens(), nowNanos);
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
	 * Asks for room for a request whose work this router already counts as its own.
	 * @param requestId id of the request, for the log
	 * @param engine the engine
	 * @param room bounds of the engine
	 * @param kvTokens tokens of KV cache that the request holds at most
	 * @return true if the request may be sent; complete at once in a small fleet
	 */
	Future<Boolean> confirm(String requestId, ListedServer engine, AdmissionLimits room, long kvTokens) {
		Optional<HostName> collector = this.roles.get().collectorOf(engine.server().region());
		if (collector.isEmpty() || collector.get().equals(this.peers.members().self().host())) {
			// The choice was made by all that is known here.
			return Future.succeededFuture(true);
		}
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setEngineReservation(EngineReservation.newBuilder()
				.setServer(engine.name().value())
				.setKvTokens(kvTokens)
				.setMaxKvTokens(room.maxKvTokens())
				.setMaxRequests(room.maxRequests()));
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
