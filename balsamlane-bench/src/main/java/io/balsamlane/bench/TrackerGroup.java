package io.balsamlane.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Function;

import io.balsamlane.core.configuration.ConfigurationDelta;
import io.balsamlane.core.configuration.ConfigurationTracker;
import io.balsamlane.core.configuration.PullResult;
import io.balsamlane.core.configuration.StoreAnswer;
import io.balsamlane.core.configuration.TrackerAction;
import io.balsamlane.core.configuration.TrackerTimes;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ConfigurationUpdate;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Several trackers in one process on a simulated clock, with the latencies of the design
 * page, probes every 500 ms to one random member, and counted calls and bytes.
 */
final class TrackerGroup {

	private static final long MILLI = 1_000_000;

	private static final long WATCH_MILLIS = 10_000;

	private static final long PROBE_MILLIS = 500;

	private static final int PLACES = 11;

	private static final int REGIONS = 3;

	private final UniformRandomProvider random;

	private final Way way;

	private final PriorityQueue<Step> steps = new PriorityQueue<>(
			Comparator.comparingLong(Step::atNanos).thenComparingLong(Step::number));

	private final Map<HostName, Node> nodes = new HashMap<>();

	private final List<Node> order = new ArrayList<>();

	private final List<Runnable> watches = new ArrayList<>();

	private final Map<Integer, Integer> callsBySecond = new HashMap<>();

	private final Histogram convergence = new Histogram(3);

	private Configuration stored;

	private long version;

	private long storedNanos;

	private long nowNanos;

	private long stepNumber;

	private long storeCalls;

	private long storeBytes;

	private long peerBytes;

	private int peakPeerBytes;

	TrackerGroup(long seed, int size, Way way, Configuration first) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.way = way;
		this.stored = first;
		this.version = 1;
		List<Member> members = new ArrayList<>();
		for (int number = 0; number < size; number++) {
			// Each node is a place of its own when every node has to watch.
			String place = (way == Way.ALL_WATCH) ? "node-" + number : "place-" + number % Math.min(PLACES, size);
			members.add(new Member(HostName.of("host-" + number), 1, Place.of(place),
					Endpoint.of("127.0.0.1", 1000 + number)));
		}
		for (int number = 0; number < size; number++) {
			Node node = new Node(members.get(number), number, members);
			this.nodes.put(members.get(number).host(), node);
			this.order.add(node);
			every(100, () -> node.event((tracker) -> tracker.timerFired(this.nowNanos)));
			every(PROBE_MILLIS, () -> probe(node));
		}
	}

	void runSeconds(int seconds) {
		long end = this.nowNanos + seconds * 1000 * MILLI;
		while (!this.steps.isEmpty() && this.steps.peek().atNanos() <= end) {
			Step step = this.steps.poll();
			this.nowNanos = step.atNanos();
			step.body().run();
		}
		this.nowNanos = end;
	}

	boolean converged() {
		return this.order.stream().allMatch((node) -> node.revision() == this.stored.getRevision());
	}

	/**
	 * Stores a change through a random node.
	 * @param next the next configuration
	 */
	void accept(Configuration next) {
		this.stored = next;
		this.version++;
		this.storedNanos = this.nowNanos;
		List<Runnable> waiting = List.copyOf(this.watches);
		this.watches.clear();
		waiting.forEach(Runnable::run);
		Node accepting = this.order.get(this.random.nextInt(this.order.size()));
		accepting.event((tracker) -> tracker.configurationStored(next, this.nowNanos));
	}

	void resetCounters() {
		this.storeCalls = 0;
		this.storeBytes = 0;
		this.peerBytes = 0;
		this.callsBySecond.clear();
		this.convergence.reset();
		this.order.forEach((node) -> node.sentBytes = 0);
		this.peakPeerBytes = 0;
	}

	Histogram convergenceMillis() {
		return this.convergence;
	}

	long storeCalls() {
		return this.storeCalls;
	}

	int peakStoreCallsPerSecond() {
		return this.callsBySecond.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	long storeBytes() {
		return this.storeBytes;
	}

	long peerBytes() {
		return this.peerBytes;
	}

	long mostBytesSentByOneNode() {
		return this.order.stream().mapToLong((node) -> node.sentBytes).max().orElse(0);
	}

	private void probe(Node from) {
		Node to = this.order.get(this.random.nextInt(this.order.size()));
		if (to != from) {
			announce(from, to, from.revision());
			send(from, to, 0, () -> announce(to, from, to.revision()));
		}
	}

	private void announce(Node from, Node to, long revision) {
		long ageMillis = from.tracker.status().storeAgeMillis(this.nowNanos);
		send(from, to, 0, () -> to
			.event((tracker) -> tracker.revisionAnnounced(from.host(), revision, ageMillis, this.nowNanos)));
	}

	private void send(Node from, Node to, int bytes, Runnable body) {
		from.sentBytes += bytes;
		this.peerBytes += bytes;
		boolean sameRegion = from.number % REGIONS == to.number % REGIONS;
		after((sameRegion ? 1500 : 20_000) + this.random.nextInt(500), body);
	}

	private void every(long millis, Runnable body) {
		after(this.random.nextInt((int) millis * 1000), () -> repeat(millis, body));
	}

	private void repeat(long millis, Runnable body) {
		body.run();
		after(millis * 1000, () -> repeat(millis, body));
	}

	private void after(long micros, Runnable body) {
		this.steps.add(new Step(this.nowNanos + micros * 1000, this.stepNumber++, body));
	}

	/**
	 * Ways to bring a revision to all nodes.
	 */
	enum Way {

		/** Every node watches the store. */
		ALL_WATCH,

		/**
		 * Two watchers per place; others hear of it by probes only and pull documents.
		 */
		GOSSIP,

		/** Two watchers per place, notices, and pulls of changes. */
		WATCHERS

	}

	private record Step(long atNanos, long number, Runnable body) {
	}

	private final class Node {

		private final Member self;

		private final int number;

		private final ConfigurationTracker tracker;

		private long sentBytes;

		private Node(Member self, int number, List<Member> members) {
			this.self = self;
			this.number = number;
			this.tracker = ConfigurationTracker.create(new MemberView(self, members), TrackerTimes.defaults(), 16,
					RandomSource.XO_RO_SHI_RO_128_PP.create(TrackerGroup.this.random.nextLong()),
					TrackerGroup.this.nowNanos);
		}

		private HostName host() {
			return this.self.host();
		}

		private long revision() {
			return this.tracker.applied().getRevision();
		}

		private void event(Function<ConfigurationTracker, List<TrackerAction>> event) {
			event.apply(this.tracker).forEach(this::perform);
		}

		private void perform(TrackerAction action) {
			TrackerGroup group = TrackerGroup.this;
			if (action instanceof TrackerAction.Apply) {
				group.convergence.recordValue((group.nowNanos - group.storedNanos) / MILLI);
			}
			else if (action instanceof TrackerAction.ReadStore) {
				callStore(-1, (answer) -> event((tracker) -> tracker.storeRead(answer, group.nowNanos)));
			}
			else if (action instanceof TrackerAction.WatchStore watch) {
				callStore(watch.afterVersion(),
						(answer) -> event((tracker) -> tracker.watchEnded(answer, group.nowNanos)));
			}
			else if (action instanceof TrackerAction.Pull pull) {
				pull(pull);
			}
			else if (action instanceof TrackerAction.Announce announce && group.way == Way.WATCHERS) {
				announce.peers().forEach((peer) -> group.announce(this, group.nodes.get(peer), announce.revision()));
			}
		}

		private void callStore(long afterVersion, Consumer<StoreAnswer> answered) {
			TrackerGroup group = TrackerGroup.this;
			group.storeCalls++;
			group.callsBySecond.merge((int) (group.nowNanos / (1000 * MILLI)), 1, Integer::sum);
			Runnable answer = () -> {
				group.storeBytes += group.stored.getSerializedSize();
				Configuration value = group.stored;
				long valueVersion = group.version;
				group.after(3000 + group.random.nextInt(2000),
						() -> answered.accept(new StoreAnswer.Document(value, valueVersion)));
			};
			if (group.version > afterVersion) {
				answer.run();
				return;
			}
			group.watches.add(answer);
			group.after(WATCH_MILLIS * 1000, () -> {
				if (group.watches.remove(answer)) {
					answered.accept(new StoreAnswer.Unchanged());
				}
			});
		}

		private static PullResult result(ConfigurationTracker tracker, Configuration theirs) {
			return (theirs.getRevision() > tracker.applied().getRevision()) ? new PullResult.Received(theirs)
					: new PullResult.Current();
		}

		private void pull(TrackerAction.Pull pull) {
			TrackerGroup group = TrackerGroup.this;
			Node peer = group.nodes.get(pull.peer());
			long known = (group.way == Way.WATCHERS) ? pull.knownRevision() : 0;
			group.send(this, peer, 0, () -> {
				Configuration theirs = peer.tracker.applied();
				ConfigurationUpdate update = ConfigurationDelta.since(theirs, 0, known).build();
				// The digest is left out: rebuilding 400 documents per change is measured
				// apart.
				group.send(peer, this, update.getSerializedSize(), () -> event(
						(tracker) -> tracker.pullEnded(pull.peer(), result(tracker, theirs), group.nowNanos)));
			});
		}

	}

}
