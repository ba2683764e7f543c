package io.balsamlane.core.retry;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.balsamlane.core.model.BackendServer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Load balancer that chooses the replica with the fewest outstanding calls, weighted by
 * the ratio of its latency to the median latency of the candidates.
 * <p>
 * A replica that announced that it is leaving gets no new calls, even if the host list
 * still shows it as live, because that list lags. A replica that fails repeatedly is
 * avoided with exponential back-off unless all replicas are avoided. A slow replica that
 * gets no calls because of its weight is probed occasionally to detect its recovery. This
 * class is not thread-safe.
 */
public final class ReplicaChooser {

	/**
	 * Limits probes to 0.5% of the calls, below the 1% at which slow probes would
	 * determine the 99th percentile of the latency.
	 */
	private static final int CALLS_PER_PROBE = 200;

	private static final long PROBE_IDLE_NANOS = 1_000_000_000L;

	/** Exceeds the lag of the host list, so that both signals overlap. */
	private static final long LEAVING_NANOS = 30_000_000_000L;

	private static final double MAX_WEIGHT = 50;

	private static final double MIN_WEIGHT = 0.5;

	private final Map<String, ReplicaState> states;

	private final UniformRandomProvider random;

	private int callsSinceProbe;

	private ReplicaChooser(int maxReplicas, UniformRandomProvider random) {
		this.random = random;
		this.states = new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, ReplicaState> eldest) {
				return size() > maxReplicas;
			}

		};
	}

	/**
	 * Create a chooser.
	 * @param maxReplicas maximum number of replicas whose state is kept; the least
	 * recently used is evicted
	 * @param random source of randomness to break ties
	 * @return the chooser
	 */
	public static ReplicaChooser create(int maxReplicas, UniformRandomProvider random) {
		return new ReplicaChooser(maxReplicas, random);
	}

	/**
	 * Choose a replica for a call.
	 * @param candidates the replicas that can serve the call
	 * @param tried replicas that the call has already tried
	 * @param mayProbe whether the call may be used to probe a slow replica
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the replica, empty if all are leaving or were tried
	 */
	public Optional<BackendServer> choose(Collection<BackendServer> candidates, Set<BackendServer> tried,
			boolean mayProbe, long nowNanos) {
		List<BackendServer> usable = candidates.stream()
			.filter((server) -> !server.leaving() && !tried.contains(server) && !state(server).isLeaving(nowNanos))
			.toList();
		List<BackendServer> healthy = usable.stream().filter((server) -> !state(server).isAvoided(nowNanos)).toList();
		List<BackendServer> choice = healthy.isEmpty() ? usable : healthy;
		double median = median(choice, nowNanos);
		this.callsSinceProbe++;
		if (mayProbe && this.callsSinceProbe >= CALLS_PER_PROBE) {
			Optional<BackendServer> idle = choice.stream()
				.filter((server) -> nowNanos - state(server).lastUsedNanos() > PROBE_IDLE_NANOS)
				.min(Comparator.comparingLong((server) -> state(server).lastUsedNanos()));
			if (idle.isPresent()) {
				this.callsSinceProbe = 0;
				return idle;
			}
		}
		int offset = choice.isEmpty() ? 0 : this.random.nextInt(choice.size());
		return java.util.stream.IntStream.range(0, choice.size())
			.mapToObj((index) -> choice.get((index + offset) % choice.size()))
			.min(Comparator.comparingDouble((server) -> score(state(server), median, nowNanos)));
	}

	private double median(List<BackendServer> servers, long nowNanos) {
		double[] known = servers.stream()
			.mapToDouble((server) -> state(server).latencyNanos(nowNanos))
			.filter((latency) -> latency > 0)
			.sorted()
			.toArray();
		return (known.length > 0) ? known[(known.length - 1) / 2] : 0;
	}

	private static double score(ReplicaState state, double median, long nowNanos) {
		double latency = state.latencyNanos(nowNanos);
		double weight = (median > 0 && latency > 0) ? Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, latency / median)) : 1;
		return (state.outstanding() + 1) * weight;
	}

	/**
	 * Record the start of a call.
	 * @param server the replica
	 * @param call unique number of the call
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void started(BackendServer server, long call, long nowNanos) {
		state(server).started(call, nowNanos);
	}

	/**
	 * Record that a replica answered a call successfully.
	 * @param server the replica
	 * @param call unique number of the call
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void succeeded(BackendServer server, long call, long nowNanos) {
		state(server).succeeded(call, nowNanos);
	}

	/**
	 * Record that a replica failed a call.
	 * @param server the replica
	 * @param call unique number of the call
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void failed(BackendServer server, long call, long nowNanos) {
		state(server).failed(call, nowNanos);
	}

	/**
	 * Record that the router abandoned a call. This does not affect the replica's health.
	 * @param server the replica
	 * @param call unique number of the call
	 */
	public void abandoned(BackendServer server, long call) {
		state(server).abandoned(call);
	}

	/**
	 * Record that a replica answered that it is leaving.
	 * @param server the replica
	 * @param call unique number of the call
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void leaving(BackendServer server, long call, long nowNanos) {
		state(server).abandoned(call);
		state(server).leaving(nowNanos + LEAVING_NANOS);
	}

	private ReplicaState state(BackendServer server) {
		return this.states.computeIfAbsent(server.name() + "@" + server.endpoint(), (key) -> new ReplicaState());
	}

}
