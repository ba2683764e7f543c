package io.balsamlane.router.decision;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.scheduling.DomainMap;
import io.balsamlane.core.scheduling.EnginePolicy;
import io.balsamlane.core.scheduling.SchedulerParameters;
import io.balsamlane.router.engine.EngineObserver;
import io.balsamlane.router.metrics.RouterMetrics;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.SchedulingSettings;
import io.balsamlane.schema.Settings;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Components of a daemon that select engines for model requests: the schedulers that it
 * owns, the observer of their engines, and the service that requests grants.
 */
public final class ModelScheduling {

	private static final String SCHEDULER_POLICY = "scheduler";

	/** Limit of queued scheduling tasks; 5,500 requests/s reach it in 0.7 s. */
	private static final int QUEUE_CAPACITY = 4096;

	private final SchedulingSettings settings;

	private final DecisionThread decisionThread = DecisionThread.create(QUEUE_CAPACITY);

	private final SchedulerService schedulerService;

	private final EngineObserver observer;

	private final LocalGrantService localGrantService;

	private final DomainGrantService domainGrantService;

	private volatile Map<String, Endpoint> endpoints = Map.of();

	private ModelScheduling(Vertx vertx, PeerNetwork network, Settings settings) {
		this.settings = settings.getScheduling();
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
		this.localGrantService = LocalGrantService.create(
				usesScheduler() ? EnginePolicy.twoChoices(random) : EnginePolicy.of(this.settings.getPolicy(), random),
				this.settings.getPieceTokens());
		this.domainGrantService = DomainGrantService.create(vertx, network, this.localGrantService,
				settings.getNode().getRegion(), this.settings.getAnswerMillis());
		this.schedulerService = SchedulerService.create(vertx, network, this.decisionThread, parameters(this.settings),
				this.settings.getAnswerMillis());
		this.observer = EngineObserver.create(vertx, this.schedulerService::observedEngines,
				(name) -> Optional.ofNullable(this.endpoints.get(name)), this.schedulerService::observeLoad,
				this.schedulerService::observeCache);
	}

	/**
	 * Create the components without starting them.
	 * @param vertx the event loops to use
	 * @param network calls the other routers
	 * @param settings the settings of the daemon
	 * @return the components
	 */
	public static ModelScheduling create(Vertx vertx, PeerNetwork network, Settings settings) {
		return new ModelScheduling(vertx, network, settings);
	}

	private static SchedulerParameters parameters(SchedulingSettings settings) {
		return SchedulerParameters.of(settings.getPieceTokens(), settings.getMaxQueued(),
				settings.getFirstTokenMillis(), settings.getBetweenTokensMillis(), 3 * settings.getRenewMillis());
	}

	private boolean usesScheduler() {
		return this.settings.getPolicy().equals(SCHEDULER_POLICY);
	}

	/**
	 * Return the service for the configured policy.
	 * @return the service
	 */
	public GrantService grants() {
		return usesScheduler() ? this.domainGrantService : this.localGrantService;
	}

	/**
	 * Start the threads and timers if the configured policy uses schedulers.
	 */
	public void start() {
		if (usesScheduler()) {
			this.schedulerService.start();
			this.domainGrantService.start(this.settings.getRenewMillis());
			this.observer.start(this.settings.getObserveMillis());
		}
	}

	/**
	 * Stop the threads and timers.
	 */
	public void stop() {
		this.observer.stop();
		this.decisionThread.stop();
	}

	/**
	 * Replace the engines and the limits of callers.
	 * @param configuration the current configuration
	 * @param hosts the host list
	 */
	public void setTopology(Configuration configuration, HostList hosts) {
		this.endpoints = hosts.servers()
			.stream()
			.filter((server) -> server.kind() == BackendServer.Kind.ENGINE)
			.collect(Collectors.toMap((server) -> server.name().value(), BackendServer::endpoint,
					(first, second) -> first));
		DomainMap map = DomainMap.of(configuration, hosts);
		this.schedulerService.setTopology(map, configuration.getCallersList());
		this.domainGrantService.setTopology(map, configuration.getCallersList());
	}

	/**
	 * Register the metrics of these components.
	 * @param metrics the metrics of the router
	 */
	public void registerMetrics(RouterMetrics metrics) {
		metrics.scheduling(this.schedulerService::liveGrants, this.schedulerService::queuedRequests,
				this.domainGrantService::fallbackCount, this.domainGrantService::crossRegionBytes);
	}

	SchedulerService schedulerService() {
		return this.schedulerService;
	}

	DomainGrantService domainGrantService() {
		return this.domainGrantService;
	}

}
