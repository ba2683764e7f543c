package io.balsamlane.router.engine;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.retry.EngineAudit;
import io.balsamlane.core.retry.EngineAudit.Assignment;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.OwnedQuery;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Context;
import io.vertx.core.Vertx;

/**
 * Audits engines at a fixed interval and cancels orphaned attempts: those whose router is
 * dead or reports that it no longer runs them. Each engine is audited by the router that
 * {@link EngineAudit} assigns.
 */
public final class EngineAuditor {

	private static final Logger logger = System.getLogger(EngineAuditor.class.getName());

	private static final int QUERY_TIMEOUT_MILLIS = 400;

	private static final int RETRY_DELAY_MILLIS = 150;

	private static final int MAX_HOSTS = 4096;

	private final Context context;

	private final Vertx vertx;

	private final PeerNetwork network;

	private final EngineClient engines;

	private final EngineCanceller canceller;

	private final Timeline timeline;

	private final Supplier<List<BackendServer>> fleet;

	private final int intervalMillis;

	private final EngineAudit audit = EngineAudit.create(MAX_HOSTS);

	private final Set<HostName> pendingHostChecks = new HashSet<>();

	private final Set<String> pendingReads = new HashSet<>();

	private long timer = -1;

	private EngineAuditor(Context context, PeerNetwork network, EngineClient engines, EngineCanceller canceller,
			Timeline timeline, Supplier<List<BackendServer>> fleet, int intervalMillis) {
		this.context = context;
		this.vertx = context.owner();
		this.network = network;
		this.engines = engines;
		this.canceller = canceller;
		this.timeline = timeline;
		this.fleet = fleet;
		this.intervalMillis = intervalMillis;
	}

	/**
	 * Create an auditor.
	 * @param context the event loop of the model requests
	 * @param network the network of routers
	 * @param engines client for the engines
	 * @param canceller cancels the orphaned attempts
	 * @param timeline records the cancellations
	 * @param fleet supplies all engines of the host list
	 * @param intervalMillis interval between two audits of an engine, in milliseconds
	 * @return the auditor
	 */
	public static EngineAuditor create(Context context, PeerNetwork network, EngineClient engines,
			EngineCanceller canceller, Timeline timeline, Supplier<List<BackendServer>> fleet, int intervalMillis) {
		return new EngineAuditor(context, network, engines, canceller, timeline, fleet, intervalMillis);
	}

	/**
	 * Start the audits.
	 */
	public void start() {
		this.context
			.runOnContext((ignored) -> this.timer = this.vertx.setPeriodic(this.intervalMillis, (id) -> auditAll()));
	}

	/**
	 * Stop the audits.
	 */
	public void stop() {
		this.vertx.cancelTimer(this.timer);
	}

	private void auditAll() {
		MemberView view = this.network.members();
		Set<HostName> monitored = new HashSet<>();
		this.audit.presumedDead().forEach((host) -> {
			if (view.find(host).isPresent()) {
				monitored.add(host);
			}
			else {
				this.audit.remove(host);
			}
		});
		for (BackendServer engine : this.fleet.get()) {
			Assignment assignment = this.audit.assignment(view, engine.name().value());
			monitored.addAll(assignment.watches());
			if (assignment.audits()) {
				readAttempts(engine);
			}
		}
		monitored.forEach((host) -> query(host, OwnedQuery.getDefaultInstance(), null));
	}

	private void readAttempts(BackendServer engine) {
		if (!this.pendingReads.add(engine.name().value())) {
			return;
		}
		this.engines.runningAttempts(engine.endpoint()).onSuccess((running) -> {
			this.pendingReads.remove(engine.name().value());
			Map<HostName, List<String>> byRouter = EngineAudit.groupByRouter(running.orElse(List.of()));
			byRouter.forEach(
					(host, attempts) -> query(host, OwnedQuery.newBuilder().addAllAttempts(attempts).build(), engine));
		});
	}

	// Asks a router which of the attempts it runs. Without an engine, only checks whether
	// the router can be reached.
	private void query(HostName host, OwnedQuery ownedQuery, BackendServer engine) {
		boolean checkOnly = (engine == null);
		if (checkOnly && !this.pendingHostChecks.add(host)) {
			return;
		}
		this.network.call(host, PeerMessage.newBuilder().setOwnedQuery(ownedQuery), QUERY_TIMEOUT_MILLIS)
			.onSuccess((reply) -> this.context.runOnContext((ignored) -> {
				if (checkOnly) {
					this.pendingHostChecks.remove(host);
				}
				handleReply(host, ownedQuery, engine, reply);
			}));
	}

	private void handleReply(HostName host, OwnedQuery ownedQuery, BackendServer engine, PeerReply reply) {
		if (reply instanceof PeerReply.Answered answer) {
			this.audit.recordAnswer(host);
			if (engine != null && answer.message().hasOwnedReply()) {
				Set<String> carried = new HashSet<>(answer.message().getOwnedReply().getCarriedList());
				ownedQuery.getAttemptsList()
					.stream()
					.filter((attempt) -> !carried.contains(attempt))
					.forEach((attempt) -> cancel(engine, attempt, "router " + host + " does not run the attempt"));
			}
			return;
		}
		boolean member = this.network.members().find(host).isPresent();
		if (reply instanceof PeerReply.Lost && member) {
			return;
		}
		boolean alreadyPresumedDead = this.audit.isPresumedDead(host);
		if (!this.audit.recordDeliveryFailure(host)) {
			// A second query tells a dead router from a single lost connection.
			this.vertx.setTimer(RETRY_DELAY_MILLIS, (id) -> query(host, ownedQuery, engine));
			return;
		}
		ownedQuery.getAttemptsList()
			.forEach((attempt) -> cancel(engine, attempt, "router " + host + " is presumed dead"));
		if (!alreadyPresumedDead) {
			logger.log(Level.INFO, "Router {0} cannot be reached; cancelling its attempts on engines", host);
			auditAll();
		}
	}

	private void cancel(BackendServer engine, String attempt, String reason) {
		Endpoint endpoint = engine.endpoint();
		int dot = attempt.lastIndexOf('.');
		this.timeline.record(EventKind.ORPHAN_CANCELLED, (dot > 0) ? attempt.substring(0, dot) : attempt, 0,
				engine.name().value(), reason);
		this.canceller.cancel(endpoint, attempt);
	}

}
