package io.balsamlane.router;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.routing.RouteTable;
import io.balsamlane.router.admin.AdminServer;
import io.balsamlane.router.configuration.ConfigurationKeeper;
import io.balsamlane.router.decision.GrantService;
import io.balsamlane.router.decision.LocalGrantService;
import io.balsamlane.router.edge.CallerServer;
import io.balsamlane.router.engine.HttpEngineClient;
import io.balsamlane.router.hosts.HostListReader;
import io.balsamlane.router.orders.HttpEngineOrders;
import io.balsamlane.router.orders.OrderDriver;
import io.balsamlane.router.peer.StandalonePeerNetwork;
import io.balsamlane.router.records.SingleKeyIntentService;
import io.balsamlane.router.store.HttpPlatformStore;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One router process: creates its parts, starts them and stops them in order.
 */
public final class RouterDaemon {

	private static final Logger logger = System.getLogger(RouterDaemon.class.getName());

	private static final int DRAIN_CHECK_MILLIS = 20;

	private static final long PREFILL_TIMEOUT_MILLIS = 30_000;

	private final Vertx vertx;

	private final Settings settings;

	private final Timeline timeline;

	private final RouterState state;

	private final ConfigurationKeeper configuration;

	private final HostListReader hostReader;

	private final CallerServer callers;

	private final AdminServer admin;

	private final OrderDriver orders;

	private HostList hosts = HostList.empty();

	private RouterDaemon(Vertx vertx, Settings settings) {
		this.vertx = vertx;
		this.settings = settings;
		String host = settings.getNode().getHost();
		this.timeline = Timeline.create(host, settings.getTimeline().getCapacityEvents(), System::currentTimeMillis);
		this.state = RouterState.create(routes(Configuration.getDefaultInstance()));
		HttpPlatformStore store = HttpPlatformStore.create(vertx, settings.getStore());
		this.configuration = ConfigurationKeeper.create(vertx, store, settings.getStore().getRetryPauseMillis(),
				this::applied);
		this.hostReader = HostListReader.create(vertx, settings.getHosts(), this::hostsChanged);
		GrantService grants = LocalGrantService.create(RandomSource.XO_RO_SHI_RO_128_PP.create(),
				settings.getScheduling().getPieceTokens());
		this.callers = CallerServer.create(vertx, settings, this.state, grants,
				HttpEngineClient.create(vertx, PREFILL_TIMEOUT_MILLIS), SingleKeyIntentService.create(store),
				this.timeline);
		this.orders = OrderDriver.create(vertx, host, settings.getOrders(), store,
				HttpEngineOrders.create(vertx, settings.getOrders().getOrderMillis()),
				StandalonePeerNetwork.create(self()), this.timeline, RandomSource.XO_RO_SHI_RO_128_PP.create());
		this.admin = AdminServer.create(vertx, settings, this.state, this.configuration, this.timeline, metrics());
	}

	/**
	 * Creates a daemon.
	 * @param vertx the event loops to use
	 * @param settings the checked settings
	 * @return the daemon, not started
	 */
	public static RouterDaemon create(Vertx vertx, Settings settings) {
		return new RouterDaemon(vertx, settings);
	}

	private Member self() {
		Endpoint peer = Endpoint.of(this.settings.getNode().getAddress(),
				Math.max(1, this.settings.getPeer().getPort()));
		return new Member(HostName.of(this.settings.getNode().getHost()), 1,
				Place.of(this.settings.getNode().getPlace()), peer);
	}

	private MetricRegistry metrics() {
		MetricRegistry registry = new MetricRegistry();
		registry.register("configuration_revision", (Gauge<Long>) () -> this.state.routes().revision());
		registry.register("requests_in_progress", (Gauge<Integer>) () -> this.callers.inProgress());
		registry.register("order_leases_held", (Gauge<Integer>) () -> this.orders.leasesHeld());
		return registry;
	}

	/**
	 * Starts all parts.
	 * @return the ports, once requests are accepted
	 */
	public Future<Ports> start() {
		this.timeline.record(EventKind.PROCESS_STARTED, "", 0, this.settings.getNode().getHost(), "");
		this.configuration.start();
		this.hostReader.start();
		this.orders.start();
		return this.callers.start()
			.compose((callerPort) -> this.admin.start().map((adminPort) -> new Ports(callerPort, adminPort)))
			.onSuccess((ports) -> logger.log(Level.INFO,
					"Listening for callers on port {0,number,#}, for operators on {1,number,#}", ports.callers(),
					ports.admin()));
	}

	/**
	 * Fails the readiness check, waits for the balancer and for all requests, then stops.
	 * @return completes when everything has stopped
	 */
	public Future<Void> stop() {
		this.state.setDraining();
		this.orders.release();
		this.timeline.record(EventKind.PROCESS_STOPPING, "", 0, this.settings.getNode().getHost(), "");
		Promise<Void> drained = Promise.promise();
		long noticeMillis = Math.max(1, this.settings.getEdge().getBalancerNoticeMillis());
		long deadlineNanos = System.nanoTime() + (noticeMillis + this.settings.getEdge().getDrainMillis()) * 1_000_000L;
		this.vertx.setTimer(noticeMillis, (id) -> awaitDrained(deadlineNanos, drained));
		return drained.future().compose((done) -> {
			this.configuration.stop();
			this.hostReader.stop();
			this.orders.stop();
			return this.callers.stop();
		}).compose((done) -> this.admin.stop());
	}

	private void awaitDrained(long deadlineNanos, Promise<Void> drained) {
		if (this.callers.inProgress() == 0 || System.nanoTime() - deadlineNanos > 0) {
			drained.complete();
		}
		else {
			this.vertx.setTimer(DRAIN_CHECK_MILLIS, (id) -> awaitDrained(deadlineNanos, drained));
		}
	}

	private synchronized void applied(Configuration next) {
		this.state.setRoutes(routes(next));
		this.orders.update(next, this.hosts);
		this.timeline.recordRevision(EventKind.CONFIGURATION_APPLIED, next.getRevision(), "");
		logger.log(Level.INFO, "Configuration revision {0,number,#} is in force", next.getRevision());
	}

	private synchronized void hostsChanged(HostList next) {
		this.hosts = next;
		this.state.setRoutes(routes(this.configuration.applied()));
		this.orders.update(this.configuration.applied(), next);
	}

	private RouteTable routes(Configuration next) {
		return RouteTable.of(next, (this.hosts != null) ? this.hosts : HostList.empty(),
				Place.of(this.settings.getNode().getPlace()), this.settings.getNode().getRegion());
	}

	/**
	 * Ports of a started daemon.
	 *
	 * @param callers port for callers
	 * @param admin port for operators
	 */
	public record Ports(int callers, int admin) {
	}

}
