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
 * Cancels attempts on engines that no router carries any more.
 */
public final class EngineAuditor {

	private static final Logger logger = System.getLogger(EngineAuditor.class.getName());

	private static final int QUERY_TIMEOUT_MILLIS = 400;

	private static final int CONFIRM_MILLIS = 150;

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

	private final Set<HostName> asking = new HashSet<>();

	private final Set<String> reading = new HashSet<>();

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
	 * Creates an auditor.
	 * @param context the event loop of the model path
	 * @param network the other routers
	 * @param engines access to engines
	 * @param canceller cancels orphans
	 * @param timeline receives events
	 * @param fleet returns all engines of the host list
	 * @param intervalMillis time between two reads of an engine, in milliseconds
	 * @return the auditor
	 */
	public static EngineAuditor create(Context context, PeerNetwork network, EngineClient engines,
			EngineCanceller canceller, Timeline timeline, Supplier<List<BackendServer>> fleet, int intervalMillis) {
		return new EngineAuditor(context, network, engines, canceller, timeline, fleet, intervalMillis);
	}

	/**
	 * Starts auditing.
	 */
	public void start() {
		this.context
			.runOnContext((ignored) -> this.timer = this.vertx.setPeriodic(this.intervalMillis, (id) -> auditAll()));
	}

	/**
	 * Stops auditing.
	 */
	public void stop() {
		this.vertx.cancelTimer(this.timer);
	}

	private void auditAll() {
		MemberView view = this.network.members();
		Set<HostName> watched = new HashSet<>();
		this.audit.presumedDead().forEach((host) -> {
			if (view.find(host).isPresent()) {
				watched.add(host);
			}
			else {
				this.audit.remove(host);
			}
		});
		for (BackendServer engine : this.fleet.get()) {
			Assignment assignment = this.audit.assignment(view, engine.name().value());
			watched.addAll(assignment.watches());
			if (assignment.audits()) {
				read(engine);
			}
		}
		watched.forEach((host) -> ask(host, OwnedQuery.getDefaultInstance(), null));
	}

	private void read(BackendServer engine) {
		if (!this.reading.add(engine.name().value())) {
			return;
		}
		this.engines.running(engine.endpoint()).onSuccess((running) -> {
			this.reading.remove(engine.name().value());
			Map<HostName, List<String>> byRouter = EngineAudit.groupByRouter(running.orElse(List.of()));
			byRouter.forEach(
					(host, attempts) -> ask(host, OwnedQuery.newBuilder().addAllAttempts(attempts).build(), engine));
		});
	}

	// Asks a router about attempts, or only whether it can be reached.
	private void ask(HostName host, OwnedQuery query, BackendServer engine) {
		boolean watch = (engine == null);
		if (watch && !this.asking.add(host)) {
			return;
		}
		this.network.call(host, PeerMessage.newBuilder().setOwnedQuery(query), QUERY_TIMEOUT_MILLIS)
			.onSuccess((reply) -> this.context.runOnContext((ignored) -> {
				if (watch) {
					this.asking.remove(host);
				}
				answered(host, query, engine, reply);
			}));
	}

	private void answered(HostName host, OwnedQuery query, BackendServer engine, PeerReply reply) {
		if (reply instanceof PeerReply.Answered answer) {
			this.audit.recordAnswer(host);
			if (engine != null && answer.message().hasOwnedReply()) {
				Set<String> carried = new HashSet<>(answer.message().getOwnedReply().getCarriedList());
				query.getAttemptsList()
					.stream()
					.filter((attempt) -> !carried.contains(attempt))
					.forEach((attempt) -> cancel(engine, attempt, "router " + host + " does not carry it"));
			}
			return;
		}
		boolean member = this.network.members().find(host).isPresent();
		if (reply instanceof PeerReply.Lost && member) {
			return;
		}
		boolean known = this.audit.isPresumedDead(host);
		if (!this.audit.recordDeliveryFailure(host)) {
			// A second try tells a router that is gone from one lost connection.
			this.vertx.setTimer(CONFIRM_MILLIS, (id) -> ask(host, query, engine));
			return;
		}
		query.getAttemptsList().forEach((attempt) -> cancel(engine, attempt, "router " + host + " is dead"));
		if (!known) {
			logger.log(Level.INFO, "Router {0} cannot be reached, its attempts on engines are cancelled", host);
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
