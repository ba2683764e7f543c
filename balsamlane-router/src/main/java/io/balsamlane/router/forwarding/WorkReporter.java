package io.balsamlane.router.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

import io.balsamlane.core.forwarding.EngineWork;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.EngineWorkEntry;
import io.balsamlane.schema.EngineWorkReport;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Tells the other routers this router's outstanding work on engines, and takes over what
 * they tell. Each report holds all work, so a lost one is made good by the next. One
 * report at a time is on its way to a router; what changes meanwhile is in the next.
 */
public final class WorkReporter {

	/** Changes within this time go out together. */
	private static final long GATHER_MILLIS = 5;

	/** Reports without change keep the others' view of standing work alive. */
	private static final long REFRESH_MILLIS = 700;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final SharedLoadPlacement engines;

	private final Map<HostName, Sending> sending = new HashMap<>();

	private boolean scheduled;

	private WorkReporter(Vertx vertx, PeerNetwork peers, SharedLoadPlacement engines) {
		this.vertx = vertx;
		this.peers = peers;
		this.engines = engines;
	}

	/**
	 * Creates a reporter.
	 * @param vertx the event loop that owns the placement
	 * @param peers the other routers
	 * @param engines the placement whose work is told
	 * @return the reporter
	 */
	public static WorkReporter create(Vertx vertx, PeerNetwork peers, SharedLoadPlacement engines) {
		return new WorkReporter(vertx, peers, engines);
	}

	/**
	 * Starts reporting.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.ENGINE_WORK_REPORT, (from, message) -> {
			Map<ServerName, EngineWork> work = message.getEngineWorkReport()
				.getEnginesList()
				.stream()
				.collect(Collectors.toMap((entry) -> ServerName.of(entry.getServer()),
						(entry) -> new EngineWork(entry.getPendingTokens(), entry.getRequests(), entry.getKvTokens()),
						EngineWork::plus));
			this.engines.reported(HostName.of(from.getHost()), work, System.nanoTime());
			return Future
				.succeededFuture(PeerMessage.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance()));
		});
		this.engines.setWorkListener(this::changed);
		this.vertx.setPeriodic(REFRESH_MILLIS, (id) -> {
			if (!this.engines.ownWork().isEmpty()) {
				changed();
			}
		});
	}

	private void changed() {
		if (!this.scheduled) {
			this.scheduled = true;
			this.vertx.setTimer(GATHER_MILLIS, (id) -> {
				this.scheduled = false;
				this.peers.members()
					.members()
					.stream()
					.filter((member) -> !member.host().equals(this.peers.members().self().host()))
					.forEach((member) -> send(member.host()));
			});
		}
	}

	private void send(HostName host) {
		Sending state = this.sending.computeIfAbsent(host, (key) -> new Sending());
		if (state.underWay) {
			state.changed = true;
			return;
		}
		state.underWay = true;
		state.changed = false;
		this.peers.call(host, PeerMessage.newBuilder().setEngineWorkReport(report()), CALL_TIMEOUT_MILLIS)
			.onComplete((reply) -> {
				state.underWay = false;
				if (state.changed && this.peers.members().find(host).isPresent()) {
					send(host);
				}
				else if (!state.changed) {
					this.sending.remove(host);
				}
			});
	}

	private EngineWorkReport report() {
		EngineWorkReport.Builder report = EngineWorkReport.newBuilder();
		this.engines.ownWork()
			.forEach((server,
					work) -> report.addEngines(EngineWorkEntry.newBuilder()
						.setServer(server.value())
						.setPendingTokens(work.pendingTokens())
						.setRequests(work.requests())
						.setKvTokens(work.kvTokens())));
		return report.build();
	}

	private static final class Sending {

		private boolean underWay;

		private boolean changed;

	}

}
