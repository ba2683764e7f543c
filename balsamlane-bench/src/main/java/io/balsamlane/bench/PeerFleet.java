package io.balsamlane.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.router.peer.NettyPeerNetwork;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.PeerSettings;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Membership of many routers in one process, over loopback, with the default times.
 */
final class PeerFleet {

	private static final long POLL_MILLIS = 10;

	/** Holds all events of a run: a ring that overflows would hide removals. */
	private static final int EVENTS = 32_768;

	private final Vertx vertx;

	private final Map<Integer, Node> nodes = new LinkedHashMap<>();

	private PeerFleet(Vertx vertx, int size, long seed) {
		this.vertx = vertx;
		IntStream.range(0, size).forEach((index) -> this.nodes.put(index, start(index, seed)));
		List<RouterHost> hosts = this.nodes.values()
			.stream()
			.map((node) -> new RouterHost(node.host, Place.of("place-" + node.index % 11),
					Endpoint.of("127.0.0.1", node.port), false))
			.toList();
		this.nodes.values().forEach((node) -> node.network.setSeeds(hosts));
	}

	static PeerFleet create(Vertx vertx, int size, long seed) {
		return new PeerFleet(vertx, size, seed);
	}

	private Node start(int index, long seed) {
		String host = "router-" + index;
		Timeline timeline = Timeline.create(host, EVENTS, System::currentTimeMillis);
		Settings settings = Settings.newBuilder()
			.setNode(NodeSettings.newBuilder().setHost(host).setPlace("place-" + index % 11).setAddress("127.0.0.1"))
			.setPeer(PeerSettings.newBuilder()
				.setKey("measurement")
				.setProbeMillis(500)
				.setProbeTimeoutMillis(200)
				.setSuspicionMillis(1200)
				.setMaxFrameBytes(2_097_152))
			.build();
		NettyPeerNetwork network = NettyPeerNetwork.create(this.vertx, settings, timeline,
				RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000 + index));
		int port = join(network.start(1));
		Node node = new Node(index, HostName.of(host), port, network, timeline);
		network.addRevisionListener((heard) -> {
			node.revision.accumulateAndGet(heard.revision(), Math::max);
			network.announceRevision(heard.revision());
		});
		return node;
	}

	private static <T> T join(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

	List<Node> nodes() {
		return List.copyOf(this.nodes.values());
	}

	void stop() {
		List<Future<Void>> stopped = new ArrayList<>();
		this.nodes.values().forEach((node) -> stopped.add(node.network.abort()));
		stopped.forEach(PeerFleet::join);
	}

	/**
	 * Kills a node and waits until all others have removed it.
	 * @param index the node
	 * @param limitMillis longest wait
	 * @return time after which each survivor removed it, in milliseconds; the limit if it
	 * did not
	 */
	List<Double> kill(int index, long limitMillis) {
		Node killed = this.nodes.remove(index);
		Map<Node, Double> removed = new LinkedHashMap<>();
		long startNanos = System.nanoTime();
		join(killed.network.abort());
		await(limitMillis, () -> {
			double millis = (System.nanoTime() - startNanos) / 1e6;
			this.nodes.values()
				.stream()
				.filter((node) -> !removed.containsKey(node) && node.network.members().find(killed.host).isEmpty())
				.forEach((node) -> removed.put(node, millis));
			return removed.size() == this.nodes.size();
		});
		return this.nodes.values().stream().map((node) -> removed.getOrDefault(node, (double) limitMillis)).toList();
	}

	double awaitAgreement(long limitMillis) {
		return await(limitMillis, () -> sees(nodes()));
	}

	// Splits the nodes in two halves until neither sees the other.
	double partition(long limitMillis) {
		List<Node> first = nodes().stream().filter((node) -> node.index % 2 == 0).toList();
		List<Node> second = nodes().stream().filter((node) -> node.index % 2 == 1).toList();
		block(first, second);
		block(second, first);
		return await(limitMillis, () -> sees(first) && sees(second));
	}

	void heal() {
		nodes().forEach((node) -> node.network.block((endpoint) -> false));
	}

	private static void block(List<Node> from, List<Node> to) {
		Set<Integer> ports = to.stream().map((node) -> node.port).collect(Collectors.toSet());
		from.forEach((node) -> node.network.block((endpoint) -> ports.contains(endpoint.port())));
	}

	private static boolean sees(List<Node> expected) {
		Set<HostName> hosts = expected.stream().map((node) -> node.host).collect(Collectors.toSet());
		return expected.stream()
			.allMatch((node) -> node.network.members().members().size() == hosts.size()
					&& node.network.members().members().stream().allMatch((member) -> hosts.contains(member.host())));
	}

	double announce(long revision, long limitMillis) {
		Node first = nodes().get(0);
		first.revision.set(revision);
		first.network.announceRevision(revision);
		return await(limitMillis, () -> nodes().stream().allMatch((node) -> node.revision.get() >= revision));
	}

	/**
	 * Counts what the nodes have sent, received, used and recorded so far.
	 * @return the totals over all nodes
	 */
	Usage usage() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long cpuNanos = Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
			.filter((thread) -> thread != null && thread.getThreadName().startsWith("peer-"))
			.mapToLong((thread) -> Math.max(0, threads.getThreadCpuTime(thread.getThreadId())))
			.sum();
		return new Usage(System.nanoTime(), sum(NettyPeerNetwork::sentProbeBytes),
				sum(NettyPeerNetwork::receivedProbeBytes), sum(NettyPeerNetwork::synchronizedBytes), cpuNanos,
				count(EventKind.MEMBER_REMOVED), count(EventKind.MEMBER_SUSPECTED));
	}

	private long sum(ToLongFunction<NettyPeerNetwork> bytes) {
		return this.nodes.values().stream().mapToLong((node) -> bytes.applyAsLong(node.network)).sum();
	}

	private long count(EventKind kind) {
		return this.nodes.values()
			.stream()
			.flatMap((node) -> node.timeline.find(EventQuery.newBuilder().setLimit(EVENTS).build())
				.getEventsList()
				.stream())
			.filter((event) -> event.getKind() == kind)
			.count();
	}

	static double await(long limitMillis, BooleanSupplier condition) {
		long startNanos = System.nanoTime();
		while (!condition.getAsBoolean() && System.nanoTime() - startNanos < limitMillis * 1_000_000) {
			sleep(POLL_MILLIS);
		}
		return (System.nanoTime() - startNanos) / 1e6;
	}

	static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("Interrupted while measuring", ex);
		}
	}

	/**
	 * Totals over all nodes.
	 *
	 * @param nanos when they were taken
	 * @param sentBytes probes sent, with UDP and IP headers
	 * @param receivedBytes probes received, with UDP and IP headers
	 * @param synchronizedBytes member tables received over TCP
	 * @param cpuNanos time of the peer threads
	 * @param removals removals in the time lines
	 * @param suspicions suspicions in the time lines
	 */
	record Usage(long nanos, long sentBytes, long receivedBytes, long synchronizedBytes, long cpuNanos, long removals,
			long suspicions) {
	}

	/**
	 * One router's membership.
	 */
	static final class Node {

		private final int index;

		private final HostName host;

		private final int port;

		private final NettyPeerNetwork network;

		private final Timeline timeline;

		private final AtomicLong revision = new AtomicLong();

		private Node(int index, HostName host, int port, NettyPeerNetwork network, Timeline timeline) {
			this.index = index;
			this.host = host;
			this.port = port;
			this.network = network;
			this.timeline = timeline;
		}

	}

}
