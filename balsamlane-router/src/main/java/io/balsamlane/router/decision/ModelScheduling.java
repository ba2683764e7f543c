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
 * The parts of a daemon that pick engines for model requests: the schedulers that it
 * owns, the observer of their engines, and the service that asks schedulers.
 */
public final class ModelScheduling {

	private static final String SCHEDULER_POLICY = "scheduler";

	/** Work that waits for the decision thread; 5,500 requests/s fill it in 0.7 s. */
	private static final int RING_CAPACITY = 4096;

	private final SchedulingSettings settings;

	private final DecisionThread thread = DecisionThread.create(RING_CAPACITY);

	private final SchedulerHost host;

	private final EngineObserver observer;

	private final LocalGrantService local;

	private final DomainGrantService domains;

	private volatile Map<String, Endpoint> endpoints = Map.of();

	private ModelScheduling(Vertx vertx, PeerNetwork network, Settings settings) {
		this.settings = settings.getScheduling();
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
		this.local = LocalGrantService.create(
				scheduled() ? EnginePolicy.twoChoices(random) : EnginePolicy.of(this.settings.getPolicy(), random),
				this.settings.getPieceTokens());
		this.domains = DomainGrantService.create(vertx, network, this.local, settings.getNode().getRegion(),
				this.settings.getAnswerMillis());
		this.host = SchedulerHost.create(vertx, network, this.thread, parameters(this.settings),
				this.settings.getAnswerMillis());
		this.observer = EngineObserver.create(vertx, this.host::observedEngines,
				(name) -> Optional.ofNullable(this.endpoints.get(name)), this.host::observeLoad,
				this.host::observeCache);
	}

	/**
	 * Creates the parts, not started.
	 * @param vertx the event loops to use
	 * @param network the other routers
	 * @param settings the settings of the daemon
	 * @return the parts
	 */
	public static ModelScheduling create(Vertx vertx, PeerNetwork network, Settings settings) {
		return new ModelScheduling(vertx, network, settings);
	}

	private static SchedulerParameters parameters(SchedulingSettings settings) {
		return SchedulerParameters.of(settings.getPieceTokens(), settings.getMaxQueued(),
				settings.getFirstTokenMillis(), settings.getBetweenTokensMillis(), 3 * settings.getRenewMillis());
	}

	private boolean scheduled() {
		return this.settings.getPolicy().equals(SCHEDULER_POLICY);
	}

	/**
	 * Returns the service that decides by the policy of the settings.
	 * @return the service
	 */
	public GrantService grants() {
		return scheduled() ? this.domains : this.local;
	}

	/**
	 * Starts the threads and timers; nothing runs under a policy without scheduler.
	 */
	public void start() {
		if (scheduled()) {
			this.host.start();
			this.domains.start(this.settings.getRenewMillis());
			this.observer.start(this.settings.getObserveMillis());
		}
	}

	/**
	 * Stops the threads and timers.
	 */
	public void stop() {
		this.observer.stop();
		this.thread.stop();
	}

	/**
	 * Replaces the engines and the callers' limits.
	 * @param configuration the configuration in force
	 * @param hosts the host list
	 */
	public void setTopology(Configuration configuration, HostList hosts) {
		this.endpoints = hosts.servers()
			.stream()
			.filter((server) -> server.kind() == BackendServer.Kind.ENGINE)
			.collect(Collectors.toMap((server) -> server.name().value(), BackendServer::endpoint,
					(first, second) -> first));
		DomainMap map = DomainMap.of(configuration, hosts);
		this.host.setTopology(map, configuration.getCallersList());
		this.domains.setTopology(map, configuration.getCallersList());
	}

	/**
	 * Adds the metrics of these parts.
	 * @param metrics receives the metrics
	 */
	public void registerMetrics(RouterMetrics metrics) {
		metrics.scheduling(this.host::liveGrants, this.host::waiting, this.domains::fallbacks,
				this.domains::crossRegionBytes);
	}

	SchedulerHost host() {
		return this.host;
	}

	DomainGrantService domains() {
		return this.domains;
	}

}
