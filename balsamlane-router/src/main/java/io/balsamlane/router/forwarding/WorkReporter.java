package io.balsamlane.router.forwarding;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.balsamlane.core.forwarding.EngineWork;
import io.balsamlane.core.forwarding.FleetRoles;
import io.balsamlane.core.forwarding.SharedLoadPlacement;
import io.balsamlane.core.forwarding.WorkScope;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.EngineWorkEntry;
import io.balsamlane.schema.EngineWorkReport;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Tells other routers the outstanding work on engines, and takes over what they tell. Who
 * tells whom is decided by {@link FleetRoles}. A report holds what has changed since the
 * last one that was confirmed, or everything if there is none. One report at a time is on
 * its way to a router; what changes meanwhile is in the next.
 */
public final class WorkReporter {

	/** Changes of own work within this time go out together. */
	private static final long GATHER_MILLIS = 5;

	/** Reports without change keep the receivers' view of standing work alive. */
	private static final long REFRESH_MILLIS = 700;

	/** Time between the reports of a collector to the routers of its region. */
	private static final long COLLECTED_MILLIS = 100;

	/** Engines of other regions are chosen for overflow only, by older figures. */
	private static final long REGION_MILLIS = 500;

	/** Receivers drop a report after 2 s without another one. */
	private static final long REPORT_LIFE_MILLIS = 1900;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final SharedLoadPlacement engines;

	private final Supplier<FleetRoles> roles;

	private final Map<HostName, Sending> sending = new HashMap<>();

	private boolean scheduled;

	private WorkReporter(Vertx vertx, PeerNetwork peers, SharedLoadPlacement engines, Supplier<FleetRoles> roles) {
		this.vertx = vertx;
		this.peers = peers;
		this.engines = engines;
		this.roles = roles;
	}

	/**
	 * Creates a reporter.
	 * @param vertx the event loop that owns the placement
	 * @param peers the other routers
	 * @param engines the placement whose work is told
	 * @param roles returns who tells whom at present
	 * @return the reporter
	 */
	public static WorkReporter create(Vertx vertx, PeerNetwork peers, SharedLoadPlacement engines,
			Supplier<FleetRoles> roles) {
		return new WorkReporter(vertx, peers, engines, roles);
	}

	/**
	 * Starts reporting.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.ENGINE_WORK_REPORT,
				(from, message) -> Future.succeededFuture(PeerMessage.newBuilder()
					.setAcknowledgement(Acknowledgement.newBuilder()
						.setResend(!take(HostName.of(from.getHost()), message.getEngineWorkReport())))));
		this.engines.setWorkListener(this::changed);
		this.vertx.setPeriodic(COLLECTED_MILLIS, (id) -> report(false));
	}

	private boolean take(HostName from, EngineWorkReport report) {
		Map<ServerName, EngineWork> work = report.getEnginesList()
			.stream()
			.collect(Collectors.toMap((entry) -> ServerName.of(entry.getServer()),
					(entry) -> new EngineWork(entry.getPendingTokens(), entry.getRequests(), entry.getKvTokens()),
					EngineWork::plus));
		WorkScope scope = scope(report.getScope());
		if (scope == WorkScope.REST) {
			// It counts the requests of all others, so no other report may.
			this.engines.reportedWork().retainOnly(from);
		}
		return this.engines.reportedWork().applyReport(from, scope, work, report.getComplete(), System.nanoTime());
	}

	private void changed() {
		if (!this.scheduled) {
			this.scheduled = true;
			this.vertx.setTimer(GATHER_MILLIS, (id) -> {
				this.scheduled = false;
				report(true);
			});
		}
	}

	private void report(boolean ownChanged) {
		Map<HostName, WorkScope> targets = this.roles.get().reportTargets();
		this.sending.keySet().retainAll(targets.keySet());
		long nowNanos = System.nanoTime();
		Map<WorkScope, Map<ServerName, EngineWork>> sums = new EnumMap<>(WorkScope.class);
		targets.forEach((host, scope) -> {
			Sending state = this.sending.computeIfAbsent(host, (key) -> new Sending());
			state.scope(scope);
			if (!state.underWay && (ownChanged ? scope == WorkScope.OWN : state.due(nowNanos))) {
				send(host, state, work(host, sums.computeIfAbsent(scope, (key) -> sum(key, nowNanos)), scope, nowNanos),
						nowNanos);
			}
		});
	}

	private void send(HostName host, Sending state, Map<ServerName, EngineWork> work, long nowNanos) {
		if (!state.worthwhile(work, nowNanos)) {
			return;
		}
		EngineWorkReport.Builder report = EngineWorkReport.newBuilder()
			.setScope(scope(state.scope))
			.setComplete(state.confirmed == null);
		state.changes(work)
			.forEach((server,
					on) -> report.addEngines(EngineWorkEntry.newBuilder()
						.setServer(server.value())
						.setPendingTokens(on.pendingTokens())
						.setRequests(on.requests())
						.setKvTokens(on.kvTokens())));
		WorkScope sent = state.scope;
		state.sent(nowNanos);
		this.peers.call(host, PeerMessage.newBuilder().setEngineWorkReport(report), CALL_TIMEOUT_MILLIS)
			.onComplete((reply) -> {
				state.underWay = false;
				state.confirmed = (confirms(reply.result()) && state.scope == sent) ? work : null;
				// A router that does not answer gets the next report with the next
				// change.
				if (reply.result() instanceof PeerReply.Answered && state.scope == WorkScope.OWN
						&& this.sending.get(host) == state) {
					send(host, state, this.engines.ownWork(), System.nanoTime());
				}
			});
	}

	private static boolean confirms(PeerReply reply) {
		return reply instanceof PeerReply.Answered answered && !answered.message().getAcknowledgement().getResend();
	}

	private Map<ServerName, EngineWork> sum(WorkScope scope, long nowNanos) {
		Map<ServerName, EngineWork> sum = new HashMap<>(this.engines.ownWork());
		if (scope != WorkScope.OWN) {
			addAll(sum, this.engines.reportedWork().sum(WorkScope.OWN, nowNanos));
		}
		if (scope == WorkScope.REST) {
			addAll(sum, this.engines.reportedWork().sum(WorkScope.REGION, nowNanos));
		}
		return sum;
	}

	private static void addAll(Map<ServerName, EngineWork> sum, Map<ServerName, EngineWork> more) {
		more.forEach((engine, held) -> sum.merge(engine, held, EngineWork::plus));
	}

	// Leaves out what the receiver itself has reported, which it knows better.
	private Map<ServerName, EngineWork> work(HostName to, Map<ServerName, EngineWork> sum, WorkScope scope,
			long nowNanos) {
		if (scope != WorkScope.REST) {
			return sum;
		}
		Map<ServerName, EngineWork> rest = new HashMap<>(sum);
		this.engines.reportedWork()
			.workReportedBy(to, nowNanos)
			.forEach((engine, held) -> rest.computeIfPresent(engine, (key, all) -> all.minus(held)));
		rest.values().removeIf(EngineWork.NONE::equals);
		return rest;
	}

	private static WorkScope scope(EngineWorkReport.Scope scope) {
		return switch (scope) {
			case REGION -> WorkScope.REGION;
			case REST -> WorkScope.REST;
			default -> WorkScope.OWN;
		};
	}

	private static EngineWorkReport.Scope scope(WorkScope scope) {
		return EngineWorkReport.Scope.valueOf(scope.name());
	}

	private static final class Sending {

		private WorkScope scope;

		// What the receiver knows, null if that is uncertain.
		private Map<ServerName, EngineWork> confirmed;

		// False if the receiver holds no report of this router.
		private boolean told;

		private boolean underWay;

		private long sentNanos;

		void sent(long nowNanos) {
			this.underWay = true;
			this.told = true;
			this.sentNanos = nowNanos;
		}

		void scope(WorkScope next) {
			if (this.scope != next) {
				this.scope = next;
				this.confirmed = null;
			}
		}

		boolean due(long nowNanos) {
			return !this.told || sinceMillis(nowNanos) >= switch (this.scope) {
				case OWN -> REFRESH_MILLIS;
				case REGION -> REGION_MILLIS;
				case REST -> COLLECTED_MILLIS;
			};
		}

		boolean worthwhile(Map<ServerName, EngineWork> work, long nowNanos) {
			if (this.told && sinceMillis(nowNanos) >= REPORT_LIFE_MILLIS) {
				this.told = false;
				this.confirmed = null;
			}
			if (!this.told) {
				return !work.isEmpty();
			}
			return this.confirmed == null || !work.equals(this.confirmed)
					|| (!work.isEmpty() && sinceMillis(nowNanos) >= REFRESH_MILLIS);
		}

		Map<ServerName, EngineWork> changes(Map<ServerName, EngineWork> work) {
			Map<ServerName, EngineWork> changes = new HashMap<>(work);
			if (this.confirmed != null) {
				changes.entrySet().removeAll(this.confirmed.entrySet());
				this.confirmed.keySet()
					.stream()
					.filter((engine) -> !work.containsKey(engine))
					.forEach((engine) -> changes.put(engine, EngineWork.NONE));
			}
			return changes;
		}

		private long sinceMillis(long nowNanos) {
			return (nowNanos - this.sentNanos) / NANOS_PER_MILLI;
		}

	}

}
