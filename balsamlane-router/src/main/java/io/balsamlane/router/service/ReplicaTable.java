package io.balsamlane.router.service;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.retry.LatencyQuantile;
import io.balsamlane.core.retry.ReplicaChooser;
import io.balsamlane.core.retry.RetryBudget;
import io.balsamlane.core.routing.Route;
import org.apache.commons.rng.simple.RandomSource;

/**
 * What this router knows about the replicas of all plain services. Safe for use by
 * several threads.
 */
final class ReplicaTable {

	private static final int MAX_SERVICES = 1024;

	private static final int MAX_REPLICAS = 4096;

	private static final double RETRY_SHARE = 0.1;

	/** Hedges and retries together stay within 10% more work than callers requested. */
	private static final double HEDGE_SHARE = 0.05;

	private static final int RETRIES_AT_ONCE = 10;

	private static final double HEDGE_PERCENTILE = 95;

	private final ReplicaChooser chooser = ReplicaChooser.create(MAX_REPLICAS,
			RandomSource.XO_RO_SHI_RO_128_PP.create());

	private final AtomicLong nextCall = new AtomicLong();

	private final Map<String, ServiceState> services = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ServiceState> eldest) {
			return size() > MAX_SERVICES;
		}

	};

	synchronized Optional<Lease> choose(Route.ToService route, Set<BackendServer> tried, boolean mayProbe) {
		long nowNanos = System.nanoTime();
		return this.chooser.choose(route.replicas(), tried, mayProbe, nowNanos).map((server) -> {
			long call = this.nextCall.getAndIncrement();
			this.chooser.started(server, call, nowNanos);
			return new Lease(route.service().getName(), server, call, nowNanos);
		});
	}

	synchronized void requested(String service) {
		state(service).retries.requested();
		state(service).hedges.requested();
	}

	synchronized boolean mayRetry(String service) {
		return state(service).retries.take();
	}

	/**
	 * Takes a hedge out of both budgets, so that their sum stays within the retry budget.
	 * @param service name of the service
	 * @return true if the call may be hedged now
	 */
	synchronized boolean mayHedge(String service) {
		return state(service).hedges.take() && state(service).retries.take();
	}

	synchronized OptionalLong hedgeDelayNanos(String service) {
		return state(service).latency.nanos();
	}

	synchronized void succeeded(Lease lease) {
		long nowNanos = System.nanoTime();
		this.chooser.succeeded(lease.server(), lease.call(), nowNanos);
		state(lease.service()).latency.add(nowNanos - lease.startNanos());
	}

	synchronized void failed(Lease lease) {
		this.chooser.failed(lease.server(), lease.call(), System.nanoTime());
	}

	synchronized void abandoned(Lease lease) {
		this.chooser.abandoned(lease.server(), lease.call());
	}

	synchronized void leaving(Lease lease) {
		this.chooser.leaving(lease.server(), lease.call(), System.nanoTime());
	}

	private ServiceState state(String service) {
		return this.services.computeIfAbsent(service, (key) -> new ServiceState());
	}

	private static final class ServiceState {

		private final RetryBudget retries = RetryBudget.create(RETRY_SHARE, RETRIES_AT_ONCE);

		private final RetryBudget hedges = RetryBudget.create(HEDGE_SHARE, RETRIES_AT_ONCE / 2);

		private final LatencyQuantile latency = LatencyQuantile.create(HEDGE_PERCENTILE);

	}

	/**
	 * A call in progress on a replica.
	 *
	 * @param service name of the service
	 * @param server the replica
	 * @param call number of the call
	 * @param startNanos the monotonic time of its start
	 */
	record Lease(String service, BackendServer server, long call, long startNanos) {
	}

}
