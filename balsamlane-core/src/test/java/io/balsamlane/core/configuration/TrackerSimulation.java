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
 * Drives trackers with simulated time, a store and messages that can be delayed, lost or
 * cut. Steps are single events in the order of their times, so a seed repeats a run.
 */
final class TrackerSimulation {

	private static final long MILLI = 1_000_000;

	private static final long WATCH_MILLIS = 10_000;

	private static final long PROBE_MILLIS = 500;

	private final UniformRandomProvider random;

	private final PriorityQueue<Step> steps = new PriorityQueue<>(
			Comparator.comparingLong(Step::atNanos).thenComparingLong(Step::number));

	final Map<HostName, Node> nodes = new LinkedHashMap<>();

	final List<Change> acceptedChanges = new ArrayList<>();

	Configuration stored = Configuration.getDefaultInstance();

	private long version;

	private boolean storeDown;

	private double loss;

	private final List<Runnable> watches = new ArrayList<>();

	private long nowNanos = 5_000_000_000L;

	private long stepNumber;

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
			every(100, () -> node.event((tracker) -> tracker.timerFired(this.nowNanos)));
			every(PROBE_MILLIS, () -> probe(node));
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

	void setLoss(double loss) {
		this.loss = loss;
	}

	void runMillis(long millis) {
		long end = this.nowNanos + millis * MILLI;
		while (!this.steps.isEmpty() && this.steps.peek().atNanos() <= end) {
			Step step = this.steps.poll();
			this.nowNanos = step.atNanos();
			step.body().run();
		}
		this.nowNanos = end;
	}

	/**
	 * Stores a change as a router does, with a fault of the answer if asked for.
	 * @param node the accepting node
	 * @param change the change
	 * @param loseAnswer whether the write takes effect without an answer
	 * @return the outcome of the edit; a lost answer is settled by submitting again
	 */
	EditResult submit(Node node, Change change, boolean loseAnswer) {
		EditResult result = ConfigurationEditor.apply(this.stored, change, 1);
		if (result instanceof EditResult.Edited edited) {
			store(edited.configuration());
			this.acceptedChanges.add(edited.configuration().getChanges(edited.configuration().getChangesCount() - 1));
			if (!loseAnswer) {
				node.event((tracker) -> tracker.configurationStored(edited.configuration(), this.nowNanos));
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
			.event((tracker) -> tracker.revisionAnnounced(from.host(), revision, ageMillis, this.nowNanos)));
	}

	private void send(Node from, Node to, Runnable body) {
		if (from.group == to.group && this.random.nextDouble() >= this.loss) {
			after(1 + this.random.nextInt(20), () -> to.receive(body));
		}
	}

	private void every(long millis, Runnable body) {
		after(1 + this.random.nextLong(millis), () -> {
			body.run();
			repeat(millis, body);
		});
	}

	private void repeat(long millis, Runnable body) {
		after(millis, () -> {
			body.run();
			repeat(millis, body);
		});
	}

	void after(long millis, Runnable body) {
		this.steps.add(new Step(this.nowNanos + millis * MILLI, this.stepNumber++, body));
	}

	private record Step(long atNanos, long number, Runnable body) {
	}

	/**
	 * One router: a tracker and the faults that hit it.
	 */
	final class Node {

		final List<Long> appliedRevisions = new ArrayList<>();

		private final MemberView view;

		private final List<Runnable> queued = new ArrayList<>();

		private ConfigurationTracker tracker;

		/** Nodes of different groups do not reach each other. */
		private int group;

		private boolean cutFromStore;

		private boolean paused;

		int storeCalls;

		private Node(MemberView view) {
			this.view = view;
		}

		/**
		 * Starts the node, or starts it again without its state.
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

		void join(int newGroup) {
			this.group = newGroup;
		}

		void cutFromStore(boolean cut) {
			this.cutFromStore = cut;
		}

		void pause() {
			this.paused = true;
		}

		/**
		 * Resumes the node; what arrived during the pause is handled first.
		 */
		void resume() {
			this.paused = false;
			List.copyOf(this.queued).forEach(Runnable::run);
			this.queued.clear();
		}

		private void receive(Runnable body) {
			if (this.paused) {
				this.queued.add(body);
			}
			else {
				body.run();
			}
		}

		private void event(Function<ConfigurationTracker, List<TrackerAction>> event) {
			if (!this.paused) {
				event.apply(this.tracker).forEach(this::perform);
			}
		}

		private void perform(TrackerAction action) {
			if (action instanceof TrackerAction.Apply apply) {
				this.appliedRevisions.add(apply.configuration().getRevision());
			}
			else if (action instanceof TrackerAction.ReadStore) {
				callStore((answer) -> event((tracker) -> tracker.storeRead(answer, TrackerSimulation.this.nowNanos)),
						-1);
			}
			else if (action instanceof TrackerAction.WatchStore watch) {
				callStore((answer) -> event((tracker) -> tracker.watchEnded(answer, TrackerSimulation.this.nowNanos)),
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

		private void callStore(Consumer<StoreAnswer> answered, long afterVersion) {
			TrackerSimulation simulation = TrackerSimulation.this;
			this.storeCalls++;
			if (simulation.storeDown || this.cutFromStore) {
				simulation.after(50, () -> receive(() -> answered.accept(new StoreAnswer.Failed("down"))));
			}
			else if (afterVersion < 0 || simulation.version > afterVersion) {
				StoreAnswer answer = (simulation.version > 0)
						? new StoreAnswer.Document(simulation.stored, simulation.version) : new StoreAnswer.Absent();
				simulation.after(3 + simulation.random.nextInt(10), () -> receive(() -> answered.accept(answer)));
			}
			else {
				boolean[] done = { false };
				simulation.watches.add(() -> {
					if (!done[0]) {
						done[0] = true;
						StoreAnswer answer = (simulation.storeDown || this.cutFromStore) ? new StoreAnswer.Failed("cut")
								: new StoreAnswer.Document(simulation.stored, simulation.version);
						simulation.after(5, () -> receive(() -> answered.accept(answer)));
					}
				});
				simulation.after(WATCH_MILLIS, () -> {
					if (!done[0]) {
						done[0] = true;
						StoreAnswer answer = (simulation.storeDown || this.cutFromStore) ? new StoreAnswer.Failed("cut")
								: new StoreAnswer.Unchanged();
						receive(() -> answered.accept(answer));
					}
				});
			}
		}

		private void pull(TrackerAction.Pull pull) {
			TrackerSimulation simulation = TrackerSimulation.this;
			Node peer = simulation.nodes.get(pull.peer());
			simulation.send(this, peer, () -> {
				Configuration theirs = peer.applied();
				var update = ConfigurationDelta.since(theirs, ConfigurationDelta.digest(theirs), pull.knownRevision())
					.build();
				simulation.send(peer, this, () -> event((tracker) -> tracker.pullEnded(pull.peer(),
						ConfigurationDelta.apply(tracker.applied(), update), simulation.nowNanos)));
			});
		}

	}

}
