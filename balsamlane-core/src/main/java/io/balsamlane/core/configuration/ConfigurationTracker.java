package io.balsamlane.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.configuration.TrackerAction.AlarmKind;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.Configuration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides from where a node learns of the configuration and which revision it applies.
 * <p>
 * Two members per place watch the store. They announce a new revision to the other
 * members of their place, which pull it. A node applies only higher revisions whose
 * history contains the change that it applied last. Times are monotonic nanoseconds.
 */
public final class ConfigurationTracker {

	private static final int MAX_BACKOFF_SHIFT = 3;

	/** A longer gap between two timer events means that the process was paused. */
	private static final long PAUSE_MILLIS = 2000;

	/** A store call without an answer for this time is given up. */
	private static final long STORE_CALL_LIMIT_MILLIS = 15_000;

	private final TrackerTimes times;

	private final UniformRandomProvider random;

	private final RevisionSources sources;

	private final AlarmBoard alarms = new AlarmBoard();

	private MemberView members;

	private boolean watcher;

	private boolean peersExpected;

	private Configuration applied = Configuration.getDefaultInstance();

	private long storeVersion;

	private boolean readNeeded = true;

	private final TrackerCall read = new TrackerCall();

	private final TrackerCall watch = new TrackerCall();

	private final TrackerCall pull = new TrackerCall();

	private HostName pulledPeer;

	private boolean wholeDocumentNeeded;

	private long nextStoreNanos;

	private long nextSeldomNanos;

	private long nextPullNanos;

	private int storeFailures;

	private int pullFailures;

	private long lastEventNanos;

	private boolean confirmed = true;

	private final ContactAges contact;

	private ConfigurationTracker(MemberView members, TrackerTimes times, int maxSources, UniformRandomProvider random,
			long nowNanos) {
		this.times = times;
		this.sources = new RevisionSources(maxSources);
		this.random = random;
		this.members = members;
		this.contact = new ContactAges(nowNanos);
		this.lastEventNanos = nowNanos;
		this.nextStoreNanos = nowNanos + jitter(times.startJitterMillis());
		this.nextSeldomNanos = nowNanos + nanos(times.firstReadMillis()) + jitter(times.firstReadMillis());
		this.nextPullNanos = nowNanos;
		adopt(members);
	}

	/**
	 * Creates a tracker of a node that has just started.
	 * @param members the members that are known
	 * @param times the times to keep
	 * @param maxSources most peers remembered as holders of a newer revision
	 * @param random source of jitter and of the choice of peers
	 * @param nowNanos the present time
	 * @return the tracker
	 */
	public static ConfigurationTracker create(MemberView members, TrackerTimes times, int maxSources,
			UniformRandomProvider random, long nowNanos) {
		Objects.requireNonNull(members, "members");
		Objects.requireNonNull(times, "times");
		Objects.requireNonNull(random, "random");
		if (maxSources < 1) {
			throw new IllegalArgumentException("maxSources must be at least 1");
		}
		return new ConfigurationTracker(members, times, maxSources, random, nowNanos);
	}

	/**
	 * Returns the configuration that was applied last.
	 * @return the configuration, revision 0 if none was
	 */
	public Configuration applied() {
		return this.applied;
	}

	/**
	 * Returns the state for use by other threads.
	 * @return the state
	 */
	public TrackerStatus status() {
		long contactNanos = this.contact.lastContactNanos() + nanos(this.times.isolationMillis());
		long pauseNanos = this.lastEventNanos + nanos(PAUSE_MILLIS);
		return new TrackerStatus(this.applied.getRevision(), highestKnown(), this.watcher,
				this.contact.freshestStoreNanos(), this.peersExpected,
				(contactNanos - pauseNanos < 0) ? contactNanos : pauseNanos, this.confirmed, this.alarms.messages());
	}

	private long highestKnown() {
		return Math.max(this.applied.getRevision(), this.sources.highest());
	}

	/**
	 * Tells whether there are other routers; without any, a store outage does not isolate
	 * this node.
	 * @param expected whether the host list shows other routers
	 */
	public void expectPeers(boolean expected) {
		this.peersExpected = expected || hasPeers(this.members);
	}

	/**
	 * Takes a change of the members.
	 * @param view the members
	 * @param nowNanos the present time
	 * @return actions
	 */
	public List<TrackerAction> membersChanged(MemberView view, long nowNanos) {
		noticePause(nowNanos);
		adopt(view);
		this.sources.keepMembers(view);
		List<TrackerAction> actions = new ArrayList<>();
		step(nowNanos, actions);
		return actions;
	}

	/**
	 * Takes the answer to {@link TrackerAction.ReadStore}.
	 * @param answer the answer
	 * @param nowNanos the present time
	 * @return actions
	 */
	public List<TrackerAction> storeRead(StoreAnswer answer, long nowNanos) {
		noticePause(nowNanos);
		return storeAnswered(this.read, answer, nowNanos);
	}

	/**
	 * Takes the answer to {@link TrackerAction.WatchStore}.
	 * @param answer the answer
	 * @param nowNanos the present time
	 * @return actions
	 */
	public List<TrackerAction> watchEnded(StoreAnswer answer, long nowNanos) {
		noticePause(nowNanos);
		return storeAnswered(this.watch, answer, nowNanos);
	}

	private List<TrackerAction> storeAnswered(TrackerCall call, StoreAnswer answer, long nowNanos) {
		boolean expected = call.pending();
		call.end();
		List<TrackerAction> actions = new ArrayList<>();
		if (answer instanceof StoreAnswer.Failed) {
			// A store that comes back may hold an older document with a version that a
			// watch would never report, so the next call is a read.
			this.readNeeded = true;
			this.nextStoreNanos = nowNanos + backoff(this.times.retryMillis(), this.storeFailures++);
		}
		else {
			if (expected) {
				this.contact.heardStore(nowNanos);
				this.confirmed = true;
			}
			this.storeFailures = 0;
			this.nextStoreNanos = nowNanos;
			this.nextSeldomNanos = nowNanos + nanos(this.times.seldomReadMillis()) / 2
					+ jitter(this.times.seldomReadMillis());
			if (answer instanceof StoreAnswer.Document document) {
				this.readNeeded = false;
				this.storeVersion = document.version();
				checkStored(document.configuration(), actions);
				offer(document.configuration(), Optional.empty(), this.watcher, actions);
			}
			else if (answer instanceof StoreAnswer.Damaged damaged) {
				this.readNeeded = false;
				this.storeVersion = damaged.version();
				this.alarms.raise(AlarmKind.DOCUMENT_DAMAGED, "The stored configuration cannot be parsed ("
						+ damaged.message() + "); the last one stays in force, submit a restore", actions);
			}
			else if (answer instanceof StoreAnswer.Absent) {
				this.readNeeded = false;
				this.storeVersion = 0;
				this.nextStoreNanos = nowNanos + nanos(this.times.retryMillis());
				if (this.applied.getRevision() > 0) {
					this.alarms.raise(AlarmKind.STORE_REGRESSED, "The store holds no configuration, revision "
							+ this.applied.getRevision() + " stays in force; submit a restore", actions);
				}
			}
		}
		step(nowNanos, actions);
		return actions;
	}

	private void checkStored(Configuration stored, List<TrackerAction> actions) {
		this.alarms.clear(AlarmKind.DOCUMENT_DAMAGED, actions);
		if (stored.getRevision() < this.applied.getRevision()) {
			this.alarms.raise(AlarmKind.STORE_REGRESSED, "The store holds revision " + stored.getRevision()
					+ ", revision " + this.applied.getRevision() + " stays in force; submit a restore", actions);
		}
		else {
			this.alarms.clear(AlarmKind.STORE_REGRESSED, actions);
		}
	}

	/**
	 * Takes an announcement of a peer: a probe, a notice or the head of a reply.
	 * @param peer the peer
	 * @param revision revision that the peer has applied
	 * @param storeAgeMillis time since the peer or its source heard from the store
	 * @param nowNanos the present time
	 * @return actions
	 */
	public List<TrackerAction> announced(HostName peer, long revision, long storeAgeMillis, long nowNanos) {
		noticePause(nowNanos);
		this.contact.heardPeer(nowNanos);
		this.contact.heardOfStore(nowNanos, storeAgeMillis);
		List<TrackerAction> actions = new ArrayList<>();
		if (revision > this.applied.getRevision()) {
			this.sources.add(peer, revision);
		}
		step(nowNanos, actions);
		return actions;
	}

	/**
	 * Takes contacts that the membership protocol had, before a timer event.
	 * @param peerAgeMillis time since a peer was heard
	 * @param storeAgeMillis time since a peer or its source heard from the store
	 * @param nowNanos the present time
	 */
	public void contacts(long peerAgeMillis, long storeAgeMillis, long nowNanos) {
		noticePause(nowNanos);
		this.contact.heardOfPeer(nowNanos, peerAgeMillis);
		this.contact.heardOfStore(nowNanos, storeAgeMillis);
	}

	/**
	 * Takes the outcome of {@link TrackerAction.Pull}.
	 * @param peer the peer that was asked
	 * @param result the outcome
	 * @param nowNanos the present time
	 * @return actions
	 */
	public List<TrackerAction> pullEnded(HostName peer, PullResult result, long nowNanos) {
		noticePause(nowNanos);
		List<TrackerAction> actions = new ArrayList<>();
		boolean expected = this.pull.pending() && peer.equals(this.pulledPeer);
		if (result instanceof PullResult.Failed) {
			if (expected) {
				pullFailed(nowNanos);
			}
		}
		else {
			if (expected) {
				this.contact.heardPeer(nowNanos);
				this.confirmed = true;
				this.pull.end();
				this.pullFailures = 0;
				this.nextPullNanos = nowNanos;
			}
			if (result instanceof PullResult.Received received) {
				this.wholeDocumentNeeded = false;
				if (!offer(received.configuration(), Optional.of(peer), this.watcher, actions)) {
					// A peer with another history would be asked again with each probe.
					this.sources.remove(peer);
					this.nextPullNanos = nowNanos + nanos(this.times.contactMillis());
				}
			}
			else if (result instanceof PullResult.DigestMismatch) {
				this.wholeDocumentNeeded = true;
			}
			else {
				this.sources.remove(peer);
			}
		}
		step(nowNanos, actions);
		return actions;
	}

	/**
	 * Takes a configuration that this node has stored itself.
	 * @param configuration the configuration
	 * @param nowNanos the present time
	 * @return actions
	 */
	public List<TrackerAction> accepted(Configuration configuration, long nowNanos) {
		noticePause(nowNanos);
		this.contact.heardStore(nowNanos);
		List<TrackerAction> actions = new ArrayList<>();
		this.alarms.clear(AlarmKind.STORE_REGRESSED, actions);
		if (offer(configuration, Optional.empty(), true, actions)) {
			// The watchers of other places may have lost the store, so the accepting node
			// tells them itself.
			List<HostName> watchers = Watchers.ofOtherPlaces(this.members);
			if (!watchers.isEmpty()) {
				actions.add(new TrackerAction.Announce(watchers, configuration.getRevision()));
			}
		}
		step(nowNanos, actions);
		return actions;
	}

	/**
	 * Takes the passing of time; expected every 100 ms or more often.
	 * @param nowNanos the present time
	 * @return actions
	 */
	public List<TrackerAction> timer(long nowNanos) {
		noticePause(nowNanos);
		this.read.expire(nowNanos, nanos(STORE_CALL_LIMIT_MILLIS));
		this.watch.expire(nowNanos, nanos(STORE_CALL_LIMIT_MILLIS));
		if (this.pull.expire(nowNanos, nanos(this.times.pullTimeoutMillis()))) {
			pullFailed(nowNanos);
		}
		List<TrackerAction> actions = new ArrayList<>();
		step(nowNanos, actions);
		return actions;
	}

	/**
	 * Handles a pause of the process before any other event. Datagrams and answers from
	 * before the pause may still be queued, so only answers to new calls show that this
	 * node is connected.
	 * @param nowNanos the present time
	 */
	private void noticePause(long nowNanos) {
		if (nowNanos - this.lastEventNanos > nanos(PAUSE_MILLIS)) {
			this.read.end();
			this.watch.end();
			this.pull.end();
			this.readNeeded = true;
			this.confirmed = false;
			this.nextStoreNanos = nowNanos;
			this.nextPullNanos = nowNanos;
		}
		this.lastEventNanos = nowNanos;
	}

	private void pullFailed(long nowNanos) {
		this.pull.end();
		this.sources.avoid(this.pulledPeer);
		this.nextPullNanos = nowNanos + backoff(this.times.pullRetryMillis(), this.pullFailures++);
	}

	private boolean offer(Configuration next, Optional<HostName> from, boolean announce, List<TrackerAction> actions) {
		if (next.getRevision() <= this.applied.getRevision()) {
			return false;
		}
		if (!ConfigurationEditor.continues(next, this.applied)) {
			this.alarms.raise(AlarmKind.HISTORY_DIVERGED,
					"Revision " + next.getRevision() + " lacks the accepted change of revision "
							+ this.applied.getRevision() + ", which stays in force; compare both and submit a restore",
					actions);
			return false;
		}
		this.applied = next;
		this.alarms.clear(AlarmKind.HISTORY_DIVERGED, actions);
		this.sources.applied(next.getRevision());
		actions.add(new TrackerAction.Apply(next));
		if (announce) {
			List<HostName> peers = this.members.members()
				.stream()
				.filter((member) -> member.place().equals(this.members.self().place()))
				.map(Member::host)
				.filter((host) -> !host.equals(this.members.self().host()) && !from.equals(Optional.of(host)))
				.toList();
			if (!peers.isEmpty()) {
				actions.add(new TrackerAction.Announce(peers, next.getRevision()));
			}
		}
		return true;
	}

	private void step(long nowNanos, List<TrackerAction> actions) {
		stepPull(nowNanos, actions);
		stepStore(nowNanos, actions);
		TrackerStatus status = status();
		this.alarms.set(AlarmKind.ISOLATED, status.isolated(nowNanos),
				"This node reaches neither the store nor a peer and refuses new work; check its network", actions);
		this.alarms.set(AlarmKind.STORE_UNREACHABLE, status.storeAgeMillis(nowNanos) > this.times.storeAlarmMillis(),
				"Neither this node nor a peer that it hears of reaches the store; no change can be accepted here",
				actions);
	}

	private void stepPull(long nowNanos, List<TrackerAction> actions) {
		if (this.pull.pending() || nowNanos - this.nextPullNanos < 0) {
			return;
		}
		boolean behind = highestKnown() > this.applied.getRevision();
		boolean silent = nowNanos - this.contact.lastPeerNanos() >= nanos(this.times.contactMillis());
		if (!behind && !silent && this.confirmed) {
			return;
		}
		this.sources.choose(this.members, this.random).ifPresent((peer) -> {
			this.pulledPeer = peer;
			this.pull.begin(nowNanos);
			long known = this.wholeDocumentNeeded ? 0 : this.applied.getRevision();
			actions.add(new TrackerAction.Pull(peer, known));
		});
	}

	private void stepStore(long nowNanos, List<TrackerAction> actions) {
		boolean due = nowNanos - this.nextStoreNanos >= 0;
		if (this.read.pending() || !due) {
			return;
		}
		boolean lonely = this.peersExpected
				&& nowNanos - this.contact.lastPeerNanos() >= nanos(this.times.contactMillis())
				&& nowNanos - this.contact.lastStoreNanos() >= nanos(this.times.contactMillis());
		boolean seldom = !this.watcher && nowNanos - this.nextSeldomNanos >= 0;
		if (lonely || seldom || !this.confirmed || (this.watcher && this.readNeeded)) {
			this.read.begin(nowNanos);
			actions.add(new TrackerAction.ReadStore());
		}
		else if (this.watcher && !this.watch.pending()) {
			this.watch.begin(nowNanos);
			actions.add(new TrackerAction.WatchStore(this.storeVersion));
		}
	}

	private void adopt(MemberView view) {
		this.members = view;
		this.peersExpected |= hasPeers(view);
		boolean chosen = Watchers.of(view, view.self().place()).contains(view.self().host());
		if (chosen && !this.watcher) {
			this.readNeeded = true;
		}
		this.watcher = chosen;
	}

	private static boolean hasPeers(MemberView view) {
		return view.members().stream().anyMatch((member) -> !member.host().equals(view.self().host()));
	}

	private long backoff(long firstMillis, int failures) {
		long bound = nanos(firstMillis) << Math.min(failures, MAX_BACKOFF_SHIFT);
		return bound / 2 + this.random.nextLong(Math.max(1, bound / 2));
	}

	private long jitter(long millis) {
		return (millis == 0) ? 0 : this.random.nextLong(nanos(millis));
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
