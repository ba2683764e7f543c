package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.Probe;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs several failure detectors on a virtual clock over a simulated network and checks
 * their invariants after each step.
 */
final class DetectorFleet {

	static final MembershipSettings SETTINGS = new MembershipSettings(500, 200, 1200, 64, 1_170, 600_000);

	private static final long STEP_NANOS = 10_000_000;

	private static final int TICK_STEPS = 5;

	private final UniformRandomProvider random;

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::dueNanos));

	private final Set<String> blocked = new HashSet<>();

	private final List<MembershipAction> reported = new ArrayList<>();

	private double lossProbability;

	private long nowNanos = 1;

	DetectorFleet(int size, long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		for (int i = 0; i < size; i++) {
			start("node-" + i);
		}
	}

	void start(String name) {
		long incarnation = this.nodes.containsKey(name) ? this.nodes.get(name).lastIncarnation + 1 : 1;
		Node node = new Node(name, incarnation);
		this.nodes.put(name, node);
		List<RouterHost> seeds = this.nodes.values()
			.stream()
			.map((seed) -> new RouterHost(HostName.of(seed.name), Place.of("place"), endpoint(seed.name), false))
			.toList();
		this.nodes.values()
			.stream()
			.filter((other) -> other.running)
			.forEach((other) -> perform(other, other.detector.setSeeds(seeds, this.nowNanos)));
	}

	static Endpoint endpoint(String name) {
		return Endpoint.of("127.0.0.1", 1000 + Integer.parseInt(name.substring(5)));
	}

	void kill(String name) {
		this.nodes.get(name).running = false;
	}

	void pause(String name, long millis) {
		this.nodes.get(name).pausedUntilNanos = this.nowNanos + millis * 1_000_000;
	}

	void block(String from, String to) {
		this.blocked.add(from + ">" + to);
	}

	void partition(int firstNodes) {
		List<String> names = List.copyOf(this.nodes.keySet());
		for (int i = 0; i < names.size(); i++) {
			for (int j = 0; j < names.size(); j++) {
				if ((i < firstNodes) != (j < firstNodes)) {
					block(names.get(i), names.get(j));
				}
			}
		}
	}

	void setLoss(double probability) {
		this.lossProbability = probability;
	}

	void heal() {
		this.blocked.clear();
		this.lossProbability = 0;
	}

	Node node(String name) {
		return this.nodes.get(name);
	}

	Set<String> running() {
		Set<String> names = new TreeSet<>();
		this.nodes.values().stream().filter((node) -> node.running).forEach((node) -> names.add(node.name));
		return names;
	}

	long nowNanos() {
		return this.nowNanos;
	}

	List<MembershipAction> reported() {
		return this.reported;
	}

	// Run until the view of each running node holds exactly the running nodes, or the
	// limit is reached. Return the elapsed virtual time in milliseconds.
	long awaitConvergence(long limitMillis) {
		return await(limitMillis, () -> running().stream().allMatch((name) -> view(name).equals(running())));
	}

	long await(long limitMillis, BooleanSupplier condition) {
		long startNanos = this.nowNanos;
		while (!condition.getAsBoolean() && this.nowNanos - startNanos < limitMillis * 1_000_000) {
			step();
		}
		return (this.nowNanos - startNanos) / 1_000_000;
	}

	void run(long millis) {
		await(millis, () -> false);
	}

	Set<String> view(String name) {
		Set<String> names = new TreeSet<>();
		node(name).detector.view().members().forEach((member) -> names.add(member.host().value()));
		return names;
	}

	private void step() {
		this.nowNanos += STEP_NANOS;
		while (!this.deliveries.isEmpty() && this.deliveries.peek().dueNanos() <= this.nowNanos) {
			deliver(this.deliveries.poll());
		}
		this.nodes.values().stream().filter((node) -> node.running && !node.paused(this.nowNanos)).forEach((node) -> {
			if (this.random.nextInt(TICK_STEPS) == 0 || this.nowNanos - node.tickedNanos >= TICK_STEPS * STEP_NANOS) {
				node.tickedNanos = this.nowNanos;
				perform(node, node.detector.tick(this.nowNanos));
			}
			node.check();
		});
	}

	private void deliver(Delivery delivery) {
		Node to = this.nodes.get(delivery.to());
		if (!to.running || this.blocked.contains(delivery.from() + ">" + delivery.to())) {
			return;
		}
		if (to.paused(this.nowNanos)) {
			this.deliveries.add(new Delivery(to.pausedUntilNanos, delivery.from(), delivery.to(), delivery.probe()));
			return;
		}
		perform(to, to.detector.received(delivery.probe(), endpoint(delivery.from()), this.nowNanos));
	}

	void perform(Node node, List<MembershipAction> actions) {
		boolean sent = false;
		for (MembershipAction action : actions) {
			if (action instanceof MembershipAction.Send send) {
				sent = true;
				send(node, send);
			}
			else if (action instanceof MembershipAction.Synchronize synchronize) {
				synchronize(node, this.nodes.get(synchronize.host().value()));
			}
			else {
				assertThat(sent && action instanceof MembershipAction.RemovalRefuted)
					.as("removal is reported before anything is sent")
					.isFalse();
				this.reported.add(action);
			}
		}
	}

	private void send(Node from, MembershipAction.Send send) {
		assertThat(send.probe().getSerializedSize()).isLessThanOrEqualTo(SETTINGS.datagramBytes());
		assertThat(send.probe().getFrom().getIncarnation()).isGreaterThanOrEqualTo(from.lastIncarnation);
		from.lastIncarnation = send.probe().getFrom().getIncarnation();
		String to = "node-" + (send.to().port() - 1000);
		if (this.nodes.containsKey(to) && this.random.nextDouble() >= this.lossProbability) {
			this.deliveries
				.add(new Delivery(this.nowNanos + this.random.nextLong(25_000_000), from.name, to, send.probe()));
		}
	}

	private void synchronize(Node from, Node to) {
		if (to.running && !to.paused(this.nowNanos) && !this.blocked.contains(from.name + ">" + to.name)
				&& !this.blocked.contains(to.name + ">" + from.name)) {
			perform(to, to.detector.synchronize(from.detector.snapshot(), this.nowNanos));
			perform(from, from.detector.synchronize(to.detector.snapshot(), this.nowNanos));
		}
	}

	private record Delivery(long dueNanos, String from, String to, Probe probe) {
	}

	/**
	 * One failure detector with the state that the invariant checks need.
	 */
	final class Node {

		private final String name;

		private final FailureDetector detector;

		private final Map<String, Long> incarnations = new HashMap<>();

		private long lastIncarnation;

		private boolean running = true;

		private long pausedUntilNanos;

		private long tickedNanos;

		private Node(String name, long incarnation) {
			this.name = name;
			this.lastIncarnation = incarnation;
			this.detector = FailureDetector.create(
					new Member(HostName.of(name), incarnation, Place.of("place"), endpoint(name)), 1, SETTINGS,
					RandomSource.XO_RO_SHI_RO_128_PP.create(DetectorFleet.this.random.nextLong()),
					DetectorFleet.this.nowNanos);
		}

		FailureDetector detector() {
			return this.detector;
		}

		private boolean paused(long nowNanos) {
			return nowNanos < this.pausedUntilNanos;
		}

		private void check() {
			assertThat(this.detector.tableSize()).isLessThanOrEqualTo(SETTINGS.maxMembers() + 1);
			for (MemberUpdate update : this.detector.snapshot()) {
				Long before = this.incarnations.put(update.getHost(), update.getIncarnation());
				assertThat(update.getIncarnation()).as(this.name + " about " + update.getHost())
					.isGreaterThanOrEqualTo((before != null) ? before : 0);
			}
		}

	}

}
