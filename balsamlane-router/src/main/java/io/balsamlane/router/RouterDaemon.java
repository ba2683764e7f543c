package io.balsamlane.router;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;

import io.balsamlane.core.configuration.TrackerTimes;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.core.routing.RouteTable;
import io.balsamlane.router.admin.AdminContext;
import io.balsamlane.router.admin.AdminServer;
import io.balsamlane.router.configuration.ConfigurationManager;
import io.balsamlane.router.decision.GrantService;
import io.balsamlane.router.decision.ModelScheduling;
import io.balsamlane.router.edge.CallerServer;
import io.balsamlane.router.edge.ModelRequestServices;
import io.balsamlane.router.engine.ActiveAttempts;
import io.balsamlane.router.engine.EngineAuditor;
import io.balsamlane.router.engine.EngineCanceller;
import io.balsamlane.router.engine.EngineClient;
import io.balsamlane.router.engine.EngineHealth;
import io.balsamlane.router.engine.HttpEngineClient;
import io.balsamlane.router.hosts.HostListReader;
import io.balsamlane.router.log.LogContext;
import io.balsamlane.router.metrics.MeteredGrantService;
import io.balsamlane.router.metrics.MeteredIntentService;
import io.balsamlane.router.metrics.MeteredPlatformStore;
import io.balsamlane.router.metrics.RequestTracker;
import io.balsamlane.router.metrics.RouterMetrics;
import io.balsamlane.router.orders.HttpEngineOrderClient;
import io.balsamlane.router.orders.OrderDriver;
import io.balsamlane.router.peer.NettyPeerNetwork;
import io.balsamlane.router.quarantine.QuarantineExchange;
import io.balsamlane.router.records.FleetIntentService;
import io.balsamlane.router.records.RecordWriterService;
import io.balsamlane.router.store.HttpPlatformStore;
import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.timeline.EventCollector;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.Settings;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A router process. Creates its components, and starts and stops them in order.
 */
public final class RouterDaemon {

	private static final Logger logger = System.getLogger(RouterDaemon.class.getName());

	private static final int DRAIN_POLL_INTERVAL_MILLIS = 20;

	private final Vertx vertx;

	private final Settings settings;

	private final Timeline timeline;

	private final RouterState state;

	private final ConfigurationManager configuration;

	private final HostListReader hostReader;

	private final ModelRequestServices modelPath;

	private final EngineAuditor auditor;

	private final NettyPeerNetwork peers;

	private final RecordWriterService recordWriters;

	private final FleetIntentService intents;

	private final ModelScheduling scheduling;

	private final CallerServer callers;

	private final AdminContext adminContext;

	private final AdminServer admin;

	private final OrderDriver orders;

	private final RouterMetrics metrics = RouterMetrics.create();

	private volatile HostList hosts = HostList.empty();

	private Configuration latestConfiguration = Configuration.getDefaultInstance();

	private volatile Runnable drainedAction = () -> {
	};

	private Promise<Void> stopped;

	private RouterDaemon(Vertx vertx, Settings settings) {
		this.vertx = vertx;
		this.settings = settings;
		String host = settings.getNode().getHost();
		this.timeline = Timeline.create(host, settings.getTimeline().getCapacityEvents(), System::currentTimeMillis);
		this.state = RouterState.create(routes(Configuration.getDefaultInstance()));
		HttpPlatformStore platform = HttpPlatformStore.create(vertx, settings.getStore());
		PlatformStore store = MeteredPlatformStore.of(platform, this.metrics);
		this.peers = NettyPeerNetwork.create(vertx, settings, this.timeline, RandomSource.XO_RO_SHI_RO_128_PP.create());
		this.configuration = ConfigurationManager.create(vertx, store, this.peers, TrackerTimes.defaults(),
				this::onConfigurationApplied);
		this.configuration.setListedRouters(this::otherRouters);
		this.state.setIsolated(this.configuration::isolated);
		this.hostReader = HostListReader.create(vertx, settings.getHosts(), this::onHostsChanged);
		this.recordWriters = RecordWriterService.create(settings, this.peers, store);
		this.intents = FleetIntentService.create(vertx, this.peers, settings.getRecords());
		this.scheduling = ModelScheduling.create(vertx, this.peers, settings);
		this.modelPath = modelPath(MeteredGrantService.of(this.scheduling.grants(), this.metrics));
		this.auditor = EngineAuditor.create(this.modelPath.context(), this.peers, this.modelPath.engines(),
				this.modelPath.canceller(), this.timeline, this::engines, settings.getEngines().getAuditMillis());
		this.callers = CallerServer.create(this.modelPath, this.state,
				MeteredIntentService.of(this.intents, this.metrics), this.peers.members().self().incarnation());
		this.adminContext = new AdminContext(this.state, this.configuration, () -> this.hosts, this.peers,
				EventCollector.create(this.timeline, this.peers), this.metrics, this.callers::inProgress, this::drain,
				this.peers::memberTable);
		this.admin = AdminServer.create(vertx, settings, this.adminContext);
		this.orders = OrderDriver.create(vertx, host, settings.getOrders(), platform,
				HttpEngineOrderClient.create(vertx, settings.getOrders().getOrderMillis()), this.peers, this.timeline,
				RandomSource.XO_RO_SHI_RO_128_PP.create());
		this.metrics.members(() -> this.peers.members().members().size());
		this.metrics.router(() -> this.state.routes().revision(), this.callers::inProgress,
				() -> this.state.ready() ? 1 : 0);
		this.metrics.orders(this.orders::leasesHeld);
		this.scheduling.registerMetrics(this.metrics);
		this.timeline.setListener(RequestTracker.create(this.metrics));
		this.timeline.setMetric(this.metrics.ring("timeline", settings.getTimeline().getCapacityEvents()));
	}

	/**
	 * Create a daemon.
	 * @param vertx the Vert.x instance to use
	 * @param settings the validated settings
	 * @return the daemon, not yet started
	 */
	public static RouterDaemon create(Vertx vertx, Settings settings) {
		return new RouterDaemon(vertx, settings);
	}

	private ModelRequestServices modelPath(GrantService grants) {
		Context context = this.vertx.getOrCreateContext();
		EngineClient engines = HttpEngineClient.create(this.vertx, this.settings.getEngines());
		EngineHealth health = EngineHealth.create(context, engines, this.peers, this.timeline,
				this.settings.getEngines());
		QuarantineExchange
			.create(this.vertx, (action) -> context.runOnContext((ignored) -> action.run()), this.peers, health,
					RandomSource.XO_RO_SHI_RO_128_PP.create())
			.start();
		return new ModelRequestServices(context, this.settings, grants, engines, health,
				EngineCanceller.create(this.vertx, engines, this.settings.getEngines()),
				ActiveAttempts.create(this.peers), this.timeline);
	}

	private List<BackendServer> engines() {
		return this.hosts.servers().stream().filter((server) -> server.kind() == BackendServer.Kind.ENGINE).toList();
	}

	/**
	 * Return the components that serve operator requests.
	 * @return the components
	 */
	public AdminContext adminContext() {
		return this.adminContext;
	}

	/**
	 * Start all components.
	 * @return a future with the ports, which completes once requests are accepted
	 */
	public Future<Ports> start() {
		this.timeline.record(EventKind.PROCESS_STARTED, "", 0, this.settings.getNode().getHost(), "");
		this.scheduling.start();
		this.configuration.start();
		this.hostReader.start();
		this.orders.start();
		this.recordWriters.start();
		this.auditor.start();
		return this.callers.start()
			.compose((callerPort) -> this.admin.start()
				.compose((adminPort) -> this.peers.start(adminPort)
					.map((peerPort) -> new Ports(callerPort, adminPort, peerPort))))
			.onSuccess((ports) -> logger.log(Level.INFO,
					"Listening for callers on port {0,number,#}, for operators on {1,number,#}, for routers on {2,number,#}",
					ports.callers(), ports.admin(), ports.peer()));
	}

	/**
	 * Shut down gracefully: fail the readiness check, wait for the load balancer to react
	 * and for requests in progress to finish until the drain timeout ends, then stop all
	 * components. If a shutdown is already in progress, return its future.
	 * @return a future that completes when all components have stopped
	 */
	public synchronized Future<Void> stop() {
		if (this.stopped == null) {
			this.stopped = Promise.promise();
			doStop().onComplete(this.stopped);
		}
		return this.stopped.future();
	}

	/**
	 * Set the action to run after an operator has drained this router.
	 * @param action the action, which runs once all components have stopped
	 */
	public void onDrained(Runnable action) {
		this.drainedAction = action;
	}

	private void drain() {
		stop().onComplete((done) -> this.drainedAction.run());
	}

	private Future<Void> doStop() {
		this.state.setDraining();
		this.orders.release();
		this.timeline.record(EventKind.PROCESS_STOPPING, "", 0, this.settings.getNode().getHost(), "");
		Promise<Void> idle = Promise.promise();
		long noticeMillis = Math.max(1, this.settings.getEdge().getBalancerNoticeMillis());
		long deadlineNanos = System.nanoTime() + (noticeMillis + this.settings.getEdge().getDrainMillis()) * 1_000_000L;
		this.vertx.setTimer(noticeMillis, (id) -> {
			this.callers.refuseNew();
			this.peers.leave();
			awaitDrained(deadlineNanos, idle);
		});
		return idle.future().compose((done) -> {
			this.configuration.stop();
			this.hostReader.stop();
			this.auditor.stop();
			this.scheduling.stop();
			this.orders.stop();
			return this.callers.stop();
		})
			.compose((done) -> this.admin.stop())
			.compose((done) -> this.peers.stop())
			.onComplete((done) -> this.recordWriters.stop());
	}

	private void awaitDrained(long deadlineNanos, Promise<Void> drained) {
		if ((this.callers.inProgress() == 0 && this.intents.pendingReports() == 0)
				|| System.nanoTime() - deadlineNanos > 0) {
			drained.complete();
		}
		else {
			this.vertx.setTimer(DRAIN_POLL_INTERVAL_MILLIS, (id) -> awaitDrained(deadlineNanos, drained));
		}
	}

	private List<HostName> otherRouters() {
		return this.hosts.routers()
			.stream()
			.filter((router) -> !router.leaving())
			.map(RouterHost::name)
			.filter((host) -> !host.value().equals(this.settings.getNode().getHost()))
			.toList();
	}

	private synchronized void onConfigurationApplied(Configuration next) {
		this.latestConfiguration = next;
		this.state.setRoutes(routes(next));
		this.peers.announceRevision(next.getRevision());
		this.scheduling.setTopology(next, this.hosts);
		this.orders.update(next, this.hosts);
		this.timeline.recordRevision(EventKind.CONFIGURATION_APPLIED, next.getRevision(), "");
		try (LogContext context = LogContext.revision(next.getRevision())) {
			logger.log(Level.INFO, "Configuration revision {0,number,#} is in force", next.getRevision());
		}
	}

	private void onHostsChanged(HostList next) {
		this.hosts = next;
		this.modelPath.health().updateHosts(next);
		this.peers.setSeeds(next.routers());
		this.configuration.expectPeers(!otherRouters().isEmpty());
		// Compiling a large route table takes milliseconds, too long for an event loop.
		this.vertx.executeBlocking(this::recompileRoutes)
			.onFailure((cause) -> logger.log(Level.ERROR, "Failed to apply the host list", cause));
	}

	private synchronized RouteTable recompileRoutes() {
		RouteTable next = routes(this.latestConfiguration);
		this.state.setRoutes(next);
		this.scheduling.setTopology(this.latestConfiguration, this.hosts);
		this.orders.update(this.latestConfiguration, this.hosts);
		return next;
	}

	private RouteTable routes(Configuration next) {
		return RouteTable.of(next, (this.hosts != null) ? this.hosts : HostList.empty(),
				Place.of(this.settings.getNode().getPlace()), this.settings.getNode().getRegion());
	}

	/**
	 * The ports of a started daemon.
	 *
	 * @param callers the port for callers
	 * @param admin the port for operators
	 * @param peer the port for other routers
	 */
	public record Ports(int callers, int admin, int peer) {
	}

}
