package io.balsamlane.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Function;

import io.balsamlane.core.configuration.TrackerAction.AlarmKind;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.balsamlane.schema.Selector;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Discrete-event simulation of trackers, a store and a network that can delay or lose
 * messages or be partitioned. Events are executed one by one in the order of their
 * simulated times, so that a seed reproduces a run.
 */
final class TrackerSimulation {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long WATCH_TIMEOUT_MILLIS = 10_000;

	private static final long PROBE_INTERVAL_MILLIS = 500;

	private final UniformRandomProvider random;

	private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledEvent::atNanos).thenComparingLong(ScheduledEvent::sequence));

	final Map<HostName, Node> nodes = new LinkedHashMap<>();

	final List<Change> acceptedChanges = new ArrayList<>();

	Configuration stored = Configuration.getDefaultInstance();

	private long version;

	private boolean storeDown;

	private double lossRate;

	private final List<Runnable> watches = new ArrayList<>();

	private long nowNanos = 5_000_000_000L;

	private long nextSequence;

	TrackerSimulation(long seed, int places, int nodesPerPlace) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		List<Member> members = new ArrayList<>();
		for (int index = 0; index < places * nodesPerPlace; index++) {
			members.add(new Member(HostName.of("host-" + index), 1, Place.of("place-" + index % places),
					Endpoint.of("127.0.0.1", 1 + index)));
		}
		members.forEach((member) -> this.nodes.put(member.host(), new Node(new MemberView(member, members))));
		this.nodes.values().forEach((node) -> {
			node.start();
			startRepeating(100, () -> node.handle((tracker) -> tracker.timerFired(this.nowNanos)));
			startRepeating(PROBE_INTERVAL_MILLIS, () -> probe(node));
		});
	}

	Node node(int index) {
		return this.nodes.get(HostName.of("host-" + index));
	}

	boolean storeDown() {
		return this.storeDown;
	}

	void setStoreDown(boolean down) {
		this.storeDown = down;
	}

	void setLossRate(double lossRate) {
		this.lossRate = lossRate;
	}

	void runMillis(long millis) {
		long end = this.nowNanos + millis * NANOS_PER_MILLI;
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= end) {
			ScheduledEvent event = this.events.poll();
			this.nowNanos = event.atNanos();
			event.task().run();
		}
		this.nowNanos = end;
	}

	/**
	 * Write a change to the store as a router does, optionally losing the response.
	 * @param node the accepting node
	 * @param change the change
	 * @param loseResponse whether the write takes effect but its response is lost
	 * @return the outcome of the edit; submitting again resolves a lost response
	 */
	EditResult submit(Node node, Change change, boolean loseResponse) {
		EditResult result = ConfigurationEditor.apply(this.stored, change, 1);
		if (result instanceof EditResult.Edited edited) {
			store(edited.configuration());
			this.acceptedChanges.add(edited.configuration().getChanges(edited.configuration().getChangesCount() - 1));
			if (!loseResponse) {
				node.handle((tracker) -> tracker.configurationStored(edited.configuration(), this.nowNanos));
			}
		}
		return result;
	}

	void store(Configuration configuration) {
		this.stored = configuration;
		this.version++;
		List<Runnable> waiting = List.copyOf(this.watches);
		this.watches.clear();
		waiting.forEach(Runnable::run);
	}

	static Change change(String id, String selector, long expectedRevision) {
		return Change.newBuilder()
			.setChangeId(id)
			.addObjects(ObjectChange.newBuilder()
				.setKind(ObjectKind.SELECTOR)
				.setName(selector)
				.setExpectedRevision(expectedRevision)
				.setSelector(Selector.newBuilder().setRequests("id = " + id)))
			.build();
	}

	private void probe(Node from) {
		List<Node> others = this.nodes.values().stream().filter((node) -> node != from).toList();
		if (from.paused || others.isEmpty()) {
			return;
		}
		Node to = others.get(this.random.nextInt(others.size()));
		announce(from, to, from.tracker.applied().getRevision());
		send(from, to, () -> announce(to, from, to.tracker.applied().getRevision()));
	}

	private void announce(Node from, Node to, long revision) {
		long ageMillis = from.tracker.status().storeAgeMillis(this.nowNanos);
		send(from, to, () -> to
			.handle((tracker) -> tracker.revisionAnnounced(from.host(), revision, ageMillis, this.nowNanos)));
	}

	private void send(Node from, Node to, Runnable task) {
		if (from.partition == to.partition && this.random.nextDouble() >= this.lossRate) {
			schedule(1 + this.random.nextInt(20), () -> to.receive(task));
		}
	}

	private void startRepeating(long millis, Runnable task) {
		schedule(1 + this.random.nextLong(millis), () -> {
			task.run();
			repeat(millis, task);
		});
	}

	private void repeat(long millis, Runnable task) {
		schedule(millis, () -> {
			task.run();
			repeat(millis, task);
		});
	}

	void schedule(long millis, Runnable task) {
		this.events.add(new ScheduledEvent(this.nowNanos + millis * NANOS_PER_MILLI, this.nextSequence++, task));
	}

	private record ScheduledEvent(long atNanos, long sequence, Runnable task) {
	}

	/**
	 * Simulated router: a tracker and the faults injected into it.
	 */
	final class Node {

		final List<Long> appliedRevisions = new ArrayList<>();

		private final MemberView view;

		private final List<Runnable> queuedMessages = new ArrayList<>();

		private ConfigurationTracker tracker;

		/** Nodes in different network partitions cannot reach each other. */
		private int partition;

		private boolean disconnectedFromStore;

		private boolean paused;

		int storeCalls;

		private Node(MemberView view) {
			this.view = view;
		}

		/**
		 * Start the node, or restart it without its state.
		 */
		void start() {
			this.appliedRevisions.clear();
			this.tracker = ConfigurationTracker.create(this.view, TrackerTimes.defaults(), 16,
					RandomSource.XO_RO_SHI_RO_128_PP.create(TrackerSimulation.this.random.nextLong()),
					TrackerSimulation.this.nowNanos);
		}

		HostName host() {
			return this.view.self().host();
		}

		long revision() {
			return this.tracker.applied().getRevision();
		}

		Configuration applied() {
			return this.tracker.applied();
		}

		boolean isolated() {
			return this.tracker.status().isolated(TrackerSimulation.this.nowNanos);
		}

		boolean alarm(AlarmKind kind) {
			return this.tracker.status().alarms().containsKey(kind);
		}

		void joinPartition(int newPartition) {
			this.partition = newPartition;
		}

		void setDisconnectedFromStore(boolean disconnected) {
			this.disconnectedFromStore = disconnected;
		}

		void pause() {
			this.paused = true;
		}

		/**
		 * Resume the node. Messages that arrived during the pause are handled first.
		 */
		void resume() {
			this.paused = false;
			List.copyOf(this.queuedMessages).forEach(Runnable::run);
			this.queuedMessages.clear();
		}

		private void receive(Runnable task) {
			if (this.paused) {
				this.queuedMessages.add(task);
			}
			else {
				task.run();
			}
		}

		private void handle(Function<ConfigurationTracker, List<TrackerAction>> event) {
			if (!this.paused) {
				event.apply(this.tracker).forEach(this::perform);
			}
		}

		private void perform(TrackerAction action) {
			if (action instanceof TrackerAction.Apply apply) {
				this.appliedRevisions.add(apply.configuration().getRevision());
			}
			else if (action instanceof TrackerAction.ReadStore) {
				callStore((answer) -> handle((tracker) -> tracker.storeRead(answer, TrackerSimulation.this.nowNanos)),
						-1);
			}
			else if (action instanceof TrackerAction.WatchStore watch) {
				callStore((answer) -> handle((tracker) -> tracker.watchEnded(answer, TrackerSimulation.this.nowNanos)),
						watch.afterVersion());
			}
			else if (action instanceof TrackerAction.Pull pull) {
				pull(pull);
			}
			else if (action instanceof TrackerAction.Announce announce) {
				announce.peers()
					.forEach((peer) -> announce(this, TrackerSimulation.this.nodes.get(peer), announce.revision()));
			}
		}

		private void callStore(Consumer<StoreAnswer> responseHandler, long afterVersion) {
			TrackerSimulation simulation = TrackerSimulation.this;
			this.storeCalls++;
			if (simulation.storeDown || this.disconnectedFromStore) {
				simulation.schedule(50, () -> receive(() -> responseHandler.accept(new StoreAnswer.Failed("down"))));
			}
			else if (afterVersion < 0 || simulation.version > afterVersion) {
				StoreAnswer answer = (simulation.version > 0)
						? new StoreAnswer.Document(simulation.stored, simulation.version) : new StoreAnswer.Absent();
				simulation.schedule(3 + simulation.random.nextInt(10),
						() -> receive(() -> responseHandler.accept(answer)));
			}
			else {
				boolean[] done = { false };
				simulation.watches.add(() -> {
					if (!done[0]) {
						done[0] = true;
						StoreAnswer answer = (simulation.storeDown || this.disconnectedFromStore)
								? new StoreAnswer.Failed("cut")
								: new StoreAnswer.Document(simulation.stored, simulation.version);
						simulation.schedule(5, () -> receive(() -> responseHandler.accept(answer)));
					}
				});
				simulation.schedule(WATCH_TIMEOUT_MILLIS, () -> {
					if (!done[0]) {
						done[0] = true;
						StoreAnswer answer = (simulation.storeDown || this.disconnectedFromStore)
								? new StoreAnswer.Failed("cut") : new StoreAnswer.Unchanged();
						receive(() -> responseHandler.accept(answer));
					}
				});
			}
		}

		private void pull(TrackerAction.Pull pull) {
			TrackerSimulation simulation = TrackerSimulation.this;
			Node peer = simulation.nodes.get(pull.peer());
			simulation.send(this, peer, () -> {
				Configuration peerConfiguration = peer.applied();
				var update = ConfigurationDelta
					.since(peerConfiguration, ConfigurationDelta.digest(peerConfiguration), pull.knownRevision())
					.build();
				simulation.send(peer, this, () -> handle((tracker) -> tracker.pullEnded(pull.peer(),
						ConfigurationDelta.apply(tracker.applied(), update), simulation.nowNanos)));
			});
		}

	}

}
