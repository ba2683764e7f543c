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
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.overload.CustomerUsage;
import io.balsamlane.core.overload.UsageReports;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.Acknowledgement;
import io.balsamlane.schema.CustomerTokens;
import io.balsamlane.schema.EngineWorkEntry;
import io.balsamlane.schema.EngineWorkReport;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Reports the outstanding work on engines to other routers, and applies the reports
 * received from them. {@link FleetRoles} determines which routers report to which. A
 * report contains the changes since the last acknowledged report, or all work if there is
 * none. At most one report to a router is in flight; changes in the meantime go into the
 * next one.
 */
public final class WorkReporter {

	/** Changes of own work within this time are sent in one report. */
	private static final long BATCH_MILLIS = 5;

	/**
	 * Interval of reports without changes, which keep the receivers from expiring
	 * existing work.
	 */
	private static final long REFRESH_MILLIS = 700;

	/** Interval of the reports from a collector to the routers of its region. */
	private static final long COLLECTOR_REPORT_MILLIS = 100;

	/**
	 * Interval of the reports between regions; older data is sufficient, because engines
	 * of other regions are chosen for overflow only.
	 */
	private static final long REGION_REPORT_MILLIS = 500;

	/** Receivers expire a report after 2 s without a new one. */
	private static final long REPORT_EXPIRY_MILLIS = 1900;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final PeerNetwork peers;

	private final SharedLoadPlacement engines;

	private final CustomerUsage usage;

	private final UsageReports usageReports = UsageReports.create();

	private final Supplier<FleetRoles> roles;

	private final Map<HostName, ReceiverState> receivers = new HashMap<>();

	private boolean scheduled;

	private WorkReporter(Vertx vertx, PeerNetwork peers, SharedLoadPlacement engines, CustomerUsage usage,
			Supplier<FleetRoles> roles) {
		this.vertx = vertx;
		this.peers = peers;
		this.engines = engines;
		this.usage = usage;
		this.roles = roles;
	}

	/**
	 * Create a reporter.
	 * @param vertx the event loop that owns the placement
	 * @param peers the other routers
	 * @param engines the placement whose work is reported
	 * @param usage the usage of customers that is reported
	 * @param roles returns the current report targets
	 * @return the reporter
	 */
	public static WorkReporter create(Vertx vertx, PeerNetwork peers, SharedLoadPlacement engines, CustomerUsage usage,
			Supplier<FleetRoles> roles) {
		return new WorkReporter(vertx, peers, engines, usage, roles);
	}

	/**
	 * Start reporting, and handling the reports of other routers.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.ENGINE_WORK_REPORT,
				(from, message) -> Future.succeededFuture(PeerMessage.newBuilder()
					.setAcknowledgement(Acknowledgement.newBuilder()
						.setResend(!applyReport(HostName.of(from.getHost()), message.getEngineWorkReport())))));
		this.engines.setWorkListener(this::changed);
		this.usage.setListener(
				(customer, tokens) -> this.usageReports.addOwn(customer, tokens, this.roles.get().reportTargets()));
		this.vertx.setPeriodic(COLLECTOR_REPORT_MILLIS, (id) -> report(false));
	}

	private boolean applyReport(HostName from, EngineWorkReport report) {
		Map<ServerName, EngineWork> work = new HashMap<>();
		for (EngineWorkEntry entry : report.getEnginesList()) {
			work.merge(ServerName.of(entry.getServer()),
					new EngineWork(entry.getPendingTokens(), entry.getRequests(), entry.getKvTokens()),
					EngineWork::plus);
		}
		WorkScope scope = scope(report.getScope());
		applyUsage(from, scope, report);
		if (scope == WorkScope.REST) {
			// It counts the requests of all other routers and replaces their reports.
			this.engines.reportedWork().retainOnly(from);
		}
		return this.engines.reportedWork().applyReport(from, scope, work, report.getComplete(), System.nanoTime());
	}

	private void applyUsage(HostName from, WorkScope scope, EngineWorkReport report) {
		if (report.getCustomersCount() > 0) {
			Map<CustomerId, Long> tokens = report.getCustomersList()
				.stream()
				.filter((entry) -> !entry.getCustomer().isBlank())
				.collect(Collectors.toMap((entry) -> CustomerId.of(entry.getCustomer()), CustomerTokens::getTokens,
						Long::sum));
			tokens.forEach((customer, count) -> this.usage.recordReported(customer, count, System.nanoTime()));
			this.usageReports.addReported(from, scope, tokens, this.roles.get().reportTargets());
		}
	}

	private void changed() {
		if (!this.scheduled) {
			this.scheduled = true;
			this.vertx.setTimer(BATCH_MILLIS, (id) -> {
				this.scheduled = false;
				report(true);
			});
		}
	}

	private void report(boolean ownChanged) {
		Map<HostName, WorkScope> targets = this.roles.get().reportTargets();
		this.receivers.keySet().retainAll(targets.keySet());
		long nowNanos = System.nanoTime();
		Map<WorkScope, Map<ServerName, EngineWork>> sums = new EnumMap<>(WorkScope.class);
		targets.forEach((host, scope) -> {
			ReceiverState state = this.receivers.computeIfAbsent(host, (key) -> new ReceiverState());
			state.scope(scope);
			if (!state.inFlight && (ownChanged ? scope == WorkScope.OWN : state.due(nowNanos))) {
				send(host, state, work(host, sums.computeIfAbsent(scope, (key) -> sum(key, nowNanos)), scope, nowNanos),
						nowNanos);
			}
		});
	}

	private void send(HostName host, ReceiverState state, Map<ServerName, EngineWork> work, long nowNanos) {
		if (!state.shouldSend(work, nowNanos) && !this.usageReports.due(host, nowNanos)) {
			return;
		}
		EngineWorkReport.Builder report = EngineWorkReport.newBuilder()
			.setScope(scope(state.scope))
			.setComplete(state.acknowledged == null);
		state.changes(work)
			.forEach((server,
					on) -> report.addEngines(EngineWorkEntry.newBuilder()
						.setServer(server.value())
						.setPendingTokens(on.pendingTokens())
						.setRequests(on.requests())
						.setKvTokens(on.kvTokens())));
		this.usageReports.take(host, nowNanos)
			.forEach((customer, tokens) -> report
				.addCustomers(CustomerTokens.newBuilder().setCustomer(customer.value()).setTokens(tokens)));
		WorkScope sent = state.scope;
		state.sent(nowNanos);
		this.peers.call(host, PeerMessage.newBuilder().setEngineWorkReport(report), CALL_TIMEOUT_MILLIS)
			.onComplete((reply) -> {
				state.inFlight = false;
				state.acknowledged = (isAcknowledged(reply.result()) && state.scope == sent) ? work : null;
				// A router that does not reply gets its report with the next change.
				if (reply.result() instanceof PeerReply.Answered && state.scope == WorkScope.OWN
						&& this.receivers.get(host) == state) {
					send(host, state, this.engines.ownWork(), System.nanoTime());
				}
			});
	}

	private static boolean isAcknowledged(PeerReply reply) {
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

	// Excludes work that the receiver itself has reported, as its own data is newer.
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

	private static final class ReceiverState {

		private WorkScope scope;

		// Work last acknowledged by the receiver, null if that is uncertain.
		private Map<ServerName, EngineWork> acknowledged;

		// False if the receiver has no unexpired report of this router.
		private boolean reported;

		private boolean inFlight;

		private long sentNanos;

		void sent(long nowNanos) {
			this.inFlight = true;
			this.reported = true;
			this.sentNanos = nowNanos;
		}

		void scope(WorkScope next) {
			if (this.scope != next) {
				this.scope = next;
				this.acknowledged = null;
			}
		}

		boolean due(long nowNanos) {
			return !this.reported || sinceMillis(nowNanos) >= switch (this.scope) {
				case OWN -> REFRESH_MILLIS;
				case REGION -> REGION_REPORT_MILLIS;
				case REST -> COLLECTOR_REPORT_MILLIS;
			};
		}

		boolean shouldSend(Map<ServerName, EngineWork> work, long nowNanos) {
			if (this.reported && sinceMillis(nowNanos) >= REPORT_EXPIRY_MILLIS) {
				this.reported = false;
				this.acknowledged = null;
			}
			if (!this.reported) {
				return !work.isEmpty();
			}
			return this.acknowledged == null || !work.equals(this.acknowledged)
					|| (!work.isEmpty() && sinceMillis(nowNanos) >= REFRESH_MILLIS);
		}

		Map<ServerName, EngineWork> changes(Map<ServerName, EngineWork> work) {
			Map<ServerName, EngineWork> changes = new HashMap<>(work);
			if (this.acknowledged != null) {
				changes.entrySet().removeAll(this.acknowledged.entrySet());
				this.acknowledged.keySet()
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
