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
 * Chooses the replica with the least outstanding work, weighted by its latency in
 * relation to the median of its service. Not safe for use by several threads.
 * <p>
 * A replica that said it is leaving gets nothing new; the host list can't cancel that,
 * because it lags. A replica that fails repeatedly is avoided for a time that doubles,
 * unless all are. A slow replica that the weights leave idle gets a trickle of calls to
 * notice its recovery.
 */
public final class ReplicaChooser {

	/**
	 * Probes stay under 1% of the calls, so that they do not decide the 99th percentile.
	 */
	private static final int CALLS_PER_PROBE = 200;

	private static final long PROBE_IDLE_NANOS = 1_000_000_000L;

	/** Longer than the host list lags, so that the two signals overlap. */
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
	 * Creates a chooser.
	 * @param maxReplicas most replicas that are remembered
	 * @param random breaks ties
	 * @return the chooser
	 */
	public static ReplicaChooser create(int maxReplicas, UniformRandomProvider random) {
		return new ReplicaChooser(maxReplicas, random);
	}

	/**
	 * Chooses a replica.
	 * @param candidates the replicas that the call may reach
	 * @param tried replicas that this call has tried
	 * @param mayProbe true if the call may go to a slow replica to test it
	 * @param nowNanos the monotonic time
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
	 * Notes the start of a call.
	 * @param server the replica
	 * @param call unique number of the call
	 * @param nowNanos the monotonic time
	 */
	public void started(BackendServer server, long call, long nowNanos) {
		state(server).started(call, nowNanos);
	}

	/**
	 * Notes that a replica answered.
	 * @param server the replica
	 * @param call the call
	 * @param nowNanos the monotonic time
	 */
	public void succeeded(BackendServer server, long call, long nowNanos) {
		state(server).succeeded(call, nowNanos);
	}

	/**
	 * Notes that a replica failed.
	 * @param server the replica
	 * @param call the call
	 * @param nowNanos the monotonic time
	 */
	public void failed(BackendServer server, long call, long nowNanos) {
		state(server).failed(call, nowNanos);
	}

	/**
	 * Notes that the router gave a call up, which says nothing about the replica.
	 * @param server the replica
	 * @param call the call
	 */
	public void abandoned(BackendServer server, long call) {
		state(server).abandoned(call);
	}

	/**
	 * Notes that a replica said it is leaving.
	 * @param server the replica
	 * @param call the call
	 * @param nowNanos the monotonic time
	 */
	public void leaving(BackendServer server, long call, long nowNanos) {
		state(server).abandoned(call);
		state(server).leaving(nowNanos + LEAVING_NANOS);
	}

	private ReplicaState state(BackendServer server) {
		return this.states.computeIfAbsent(server.name() + "@" + server.endpoint(), (key) -> new ReplicaState());
	}

}
