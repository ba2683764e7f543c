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
 * Tracks the state of the replicas of all plain services, and the retry budget and
 * latency of each service. This class is thread-safe.
 */
final class ReplicaTable {

	private static final int MAX_SERVICES = 1024;

	private static final int MAX_REPLICAS = 4096;

	private static final double RETRY_RATIO = 0.1;

	/**
	 * Ratio of hedges to requested calls. Hedges also count against the retry budget, so
	 * that retries and hedges together add at most 10% to the requested calls.
	 */
	private static final double HEDGE_RATIO = 0.05;

	private static final int RETRY_BURST = 10;

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

	synchronized Optional<Reservation> choose(Route.ToService route, Set<BackendServer> tried, boolean mayProbe) {
		long nowNanos = System.nanoTime();
		return this.chooser.choose(route.replicas(), tried, mayProbe, nowNanos).map((server) -> {
			long call = this.nextCall.getAndIncrement();
			this.chooser.started(server, call, nowNanos);
			return new Reservation(route.service().getName(), server, call, nowNanos);
		});
	}

	synchronized void recordRequest(String service) {
		state(service).retries.requested();
		state(service).hedges.requested();
	}

	synchronized boolean tryAcquireRetry(String service) {
		return state(service).retries.take();
	}

	/**
	 * Try to take a hedge from the hedge budget and the retry budget, so that hedges and
	 * retries together stay within the retry budget.
	 * @param service name of the service
	 * @return true if the call may be hedged now
	 */
	synchronized boolean tryAcquireHedge(String service) {
		return state(service).hedges.take() && state(service).retries.take();
	}

	synchronized OptionalLong hedgeDelayNanos(String service) {
		return state(service).latency.nanos();
	}

	synchronized void recordSuccess(Reservation reservation) {
		long nowNanos = System.nanoTime();
		this.chooser.succeeded(reservation.server(), reservation.call(), nowNanos);
		state(reservation.service()).latency.add(nowNanos - reservation.startNanos());
	}

	synchronized void recordFailure(Reservation reservation) {
		this.chooser.failed(reservation.server(), reservation.call(), System.nanoTime());
	}

	synchronized void recordAbandonment(Reservation reservation) {
		this.chooser.abandoned(reservation.server(), reservation.call());
	}

	synchronized void recordLeaving(Reservation reservation) {
		this.chooser.leaving(reservation.server(), reservation.call(), System.nanoTime());
	}

	private ServiceState state(String service) {
		return this.services.computeIfAbsent(service, (key) -> new ServiceState());
	}

	private static final class ServiceState {

		private final RetryBudget retries = RetryBudget.create(RETRY_RATIO, RETRY_BURST);

		private final RetryBudget hedges = RetryBudget.create(HEDGE_RATIO, RETRY_BURST / 2);

		private final LatencyQuantile latency = LatencyQuantile.create(HEDGE_PERCENTILE);

	}

	/**
	 * Reservation of a replica for a call in progress.
	 *
	 * @param service name of the service
	 * @param server the replica
	 * @param call sequence number of the call
	 * @param startNanos monotonic start time of the call, in nanoseconds
	 */
	record Reservation(String service, BackendServer server, long call, long startNanos) {
	}

}
