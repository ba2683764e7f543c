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
 * State machine that decides from which source a node obtains the configuration and which
 * revision it applies.
 * <p>
 * Two members per place watch the store. They announce a new revision to the other
 * members of their place, which pull it. A node applies a revision only if it is higher
 * than the applied one and its history contains the change that was applied last. Times
 * are monotonic, in nanoseconds.
 */
public final class ConfigurationTracker {

	private static final int MAX_BACKOFF_SHIFT = 3;

	/** Gap between two events beyond which the process is assumed to have been paused. */
	private static final long PAUSE_THRESHOLD_MILLIS = 2000;

	/** Time after which a store call without a response is abandoned. */
	private static final long STORE_CALL_TIMEOUT_MILLIS = 15_000;

	private final TrackerTimes times;

	private final UniformRandomProvider random;

	private final RevisionSources sources;

	private final ActiveAlarms alarms = new ActiveAlarms();

	private MemberView members;

	private boolean watcher;

	private boolean peersExpected;

	private Configuration applied = Configuration.getDefaultInstance();

	private long storeVersion;

	private boolean readNeeded = true;

	private final PendingCall read = new PendingCall();

	private final PendingCall watch = new PendingCall();

	private final PendingCall pull = new PendingCall();

	private HostName pullPeer;

	private boolean fullDocumentNeeded;

	private long nextStoreCallNanos;

	private long nextPeriodicReadNanos;

	private long nextPullNanos;

	private int storeFailures;

	private int pullFailures;

	private long lastEventNanos;

	private boolean contactConfirmed = true;

	private final ContactTimes contacts;

	private ConfigurationTracker(MemberView members, TrackerTimes times, int maxSources, UniformRandomProvider random,
			long nowNanos) {
		this.times = times;
		this.sources = new RevisionSources(maxSources);
		this.random = random;
		this.members = members;
		this.contacts = new ContactTimes(nowNanos);
		this.lastEventNanos = nowNanos;
		this.nextStoreCallNanos = nowNanos + jitter(times.startJitterMillis());
		this.nextPeriodicReadNanos = nowNanos + nanos(times.firstReadDelayMillis())
				+ jitter(times.firstReadDelayMillis());
		this.nextPullNanos = nowNanos;
		updateMembers(members);
	}

	/**
	 * Create a tracker for a node that has just started.
	 * @param members the known members
	 * @param times the delays, intervals and timeouts
	 * @param maxSources maximum number of peers remembered as holding a newer revision
	 * @param random the random source for jitter and the choice of peers
	 * @param nowNanos the current time
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
	 * Return the configuration that was applied last.
	 * @return the configuration; has revision 0 if none has been applied
	 */
	public Configuration applied() {
		return this.applied;
	}

	/**
	 * Return a snapshot of the state for use by other threads.
	 * @return the snapshot
	 */
	public TrackerStatus status() {
		long contactNanos = this.contacts.lastContactNanos() + nanos(this.times.isolationTimeoutMillis());
		long pauseNanos = this.lastEventNanos + nanos(PAUSE_THRESHOLD_MILLIS);
		return new TrackerStatus(this.applied.getRevision(), highestKnownRevision(), this.watcher,
				this.contacts.latestStoreContactNanos(), this.peersExpected,
				(contactNanos - pauseNanos < 0) ? contactNanos : pauseNanos, this.contactConfirmed,
				this.alarms.messages());
	}

	private long highestKnownRevision() {
		return Math.max(this.applied.getRevision(), this.sources.highestRevision());
	}

	/**
	 * Set whether other routers are expected to exist. Without any, a store outage does
	 * not isolate this node.
	 * @param expected whether the host list contains other routers
	 */
	public void expectPeers(boolean expected) {
		this.peersExpected = expected || hasPeers(this.members);
	}

	/**
	 * Handle a membership change.
	 * @param view the current members
	 * @param nowNanos the current time
	 * @return the actions to perform
	 */
	public List<TrackerAction> membersChanged(MemberView view, long nowNanos) {
		detectPause(nowNanos);
		updateMembers(view);
		this.sources.retainMembers(view);
		List<TrackerAction> actions = new ArrayList<>();
		performDueWork(nowNanos, actions);
		return actions;
	}

	/**
	 * Handle the response to {@link TrackerAction.ReadStore}.
	 * @param answer the response
	 * @param nowNanos the current time
	 * @return the actions to perform
	 */
	public List<TrackerAction> storeRead(StoreAnswer answer, long nowNanos) {
		detectPause(nowNanos);
		return storeAnswered(this.read, answer, nowNanos);
	}

	/**
	 * Handle the response to {@link TrackerAction.WatchStore}.
	 * @param answer the response
	 * @param nowNanos the current time
	 * @return the actions to perform
	 */
	public List<TrackerAction> watchEnded(StoreAnswer answer, long nowNanos) {
		detectPause(nowNanos);
		return storeAnswered(this.watch, answer, nowNanos);
	}

	private List<TrackerAction> storeAnswered(PendingCall call, StoreAnswer answer, long nowNanos) {
		boolean expected = call.pending();
		call.end();
		List<TrackerAction> actions = new ArrayList<>();
		if (answer instanceof StoreAnswer.Failed) {
			// After an outage the store may hold an older document whose version a watch
			// would never report, so the next call must be a read.
			this.readNeeded = true;
			this.nextStoreCallNanos = nowNanos + backoff(this.times.retryMillis(), this.storeFailures++);
		}
		else {
			if (expected) {
				this.contacts.recordStoreContact(nowNanos);
				this.contactConfirmed = true;
			}
			this.storeFailures = 0;
			this.nextStoreCallNanos = nowNanos;
			this.nextPeriodicReadNanos = nowNanos + nanos(this.times.periodicReadMillis()) / 2
					+ jitter(this.times.periodicReadMillis());
			if (answer instanceof StoreAnswer.Document document) {
				this.readNeeded = false;
				this.storeVersion = document.version();
				checkStoredRevision(document.configuration(), actions);
				applyIfNewer(document.configuration(), Optional.empty(), this.watcher, actions);
			}
			else if (answer instanceof StoreAnswer.Damaged damaged) {
				this.readNeeded = false;
				this.storeVersion = damaged.version();
				this.alarms.raise(AlarmKind.DOCUMENT_DAMAGED, "The stored configuration cannot be parsed ("
						+ damaged.message() + "); the last valid one stays in force; submit a restore", actions);
			}
			else if (answer instanceof StoreAnswer.Absent) {
				this.readNeeded = false;
				this.storeVersion = 0;
				this.nextStoreCallNanos = nowNanos + nanos(this.times.retryMillis());
				if (this.applied.getRevision() > 0) {
					this.alarms.raise(AlarmKind.STORE_REGRESSED, "The store holds no configuration; revision "
							+ this.applied.getRevision() + " stays in force; submit a restore", actions);
				}
			}
		}
		performDueWork(nowNanos, actions);
		return actions;
	}

	private void checkStoredRevision(Configuration stored, List<TrackerAction> actions) {
		this.alarms.clear(AlarmKind.DOCUMENT_DAMAGED, actions);
		if (stored.getRevision() < this.applied.getRevision()) {
			this.alarms.raise(AlarmKind.STORE_REGRESSED, "The store holds revision " + stored.getRevision()
					+ "; revision " + this.applied.getRevision() + " stays in force; submit a restore", actions);
		}
		else {
			this.alarms.clear(AlarmKind.STORE_REGRESSED, actions);
		}
	}

	/**
	 * Handle a revision announcement of a peer, which is contained in a probe, a revision
	 * notice or the header of a reply.
	 * @param peer the peer
	 * @param revision revision that the peer has applied
	 * @param storeAgeMillis time since the latest store contact known to the peer, in
	 * milliseconds
	 * @param nowNanos the current time
	 * @return the actions to perform
	 */
	public List<TrackerAction> revisionAnnounced(HostName peer, long revision, long storeAgeMillis, long nowNanos) {
		detectPause(nowNanos);
		this.contacts.recordPeerContact(nowNanos);
		this.contacts.recordReportedStoreContact(nowNanos, storeAgeMillis);
		List<TrackerAction> actions = new ArrayList<>();
		if (revision > this.applied.getRevision()) {
			this.sources.add(peer, revision);
		}
		performDueWork(nowNanos, actions);
		return actions;
	}

	/**
	 * Handle the latest contacts reported by the membership protocol. To be called before
	 * {@link #timerFired}.
	 * @param peerAgeMillis time since the last contact with a peer, in milliseconds
	 * @param storeAgeMillis time since the latest store contact known to a peer, in
	 * milliseconds
	 * @param nowNanos the current time
	 */
	public void contactsReported(long peerAgeMillis, long storeAgeMillis, long nowNanos) {
		detectPause(nowNanos);
		this.contacts.recordReportedPeerContact(nowNanos, peerAgeMillis);
		this.contacts.recordReportedStoreContact(nowNanos, storeAgeMillis);
	}

	/**
	 * Handle the outcome of {@link TrackerAction.Pull}.
	 * @param peer the peer that was pulled from
	 * @param result the outcome
	 * @param nowNanos the current time
	 * @return the actions to perform
	 */
	public List<TrackerAction> pullEnded(HostName peer, PullResult result, long nowNanos) {
		detectPause(nowNanos);
		List<TrackerAction> actions = new ArrayList<>();
		boolean expected = this.pull.pending() && peer.equals(this.pullPeer);
		if (result instanceof PullResult.Failed) {
			if (expected) {
				pullFailed(nowNanos);
			}
		}
		else {
			if (expected) {
				this.contacts.recordPeerContact(nowNanos);
				this.contactConfirmed = true;
				this.pull.end();
				this.pullFailures = 0;
				this.nextPullNanos = nowNanos;
			}
			if (result instanceof PullResult.Received received) {
				this.fullDocumentNeeded = false;
				if (!applyIfNewer(received.configuration(), Optional.of(peer), this.watcher, actions)) {
					// Otherwise a peer with a diverged history would be pulled from again
					// after each probe.
					this.sources.remove(peer);
					this.nextPullNanos = nowNanos + nanos(this.times.contactTimeoutMillis());
				}
			}
			else if (result instanceof PullResult.DigestMismatch) {
				this.fullDocumentNeeded = true;
			}
			else {
				this.sources.remove(peer);
			}
		}
		performDueWork(nowNanos, actions);
		return actions;
	}

	/**
	 * Handle a successful write of a configuration to the store by this node.
	 * @param configuration the stored configuration
	 * @param nowNanos the current time
	 * @return the actions to perform
	 */
	public List<TrackerAction> configurationStored(Configuration configuration, long nowNanos) {
		detectPause(nowNanos);
		this.contacts.recordStoreContact(nowNanos);
		List<TrackerAction> actions = new ArrayList<>();
		this.alarms.clear(AlarmKind.STORE_REGRESSED, actions);
		if (applyIfNewer(configuration, Optional.empty(), true, actions)) {
			// The watchers of other places may have lost their connection to the store,
			// so the accepting node notifies them directly.
			List<HostName> watchers = WatcherSelection.selectInOtherPlaces(this.members);
			if (!watchers.isEmpty()) {
				actions.add(new TrackerAction.Announce(watchers, configuration.getRevision()));
			}
		}
		performDueWork(nowNanos, actions);
		return actions;
	}

	/**
	 * Handle the passing of time. To be called at least every 100 ms.
	 * @param nowNanos the current time
	 * @return the actions to perform
	 */
	public List<TrackerAction> timerFired(long nowNanos) {
		detectPause(nowNanos);
		this.read.expire(nowNanos, nanos(STORE_CALL_TIMEOUT_MILLIS));
		this.watch.expire(nowNanos, nanos(STORE_CALL_TIMEOUT_MILLIS));
		if (this.pull.expire(nowNanos, nanos(this.times.pullTimeoutMillis()))) {
			pullFailed(nowNanos);
		}
		List<TrackerAction> actions = new ArrayList<>();
		performDueWork(nowNanos, actions);
		return actions;
	}

	/**
	 * Detect a pause of the process; must precede the handling of any other event.
	 * Datagrams and responses from before the pause may still be queued, so only
	 * responses to new calls prove that this node is connected.
	 * @param nowNanos the current time
	 */
	private void detectPause(long nowNanos) {
		if (nowNanos - this.lastEventNanos > nanos(PAUSE_THRESHOLD_MILLIS)) {
			this.read.end();
			this.watch.end();
			this.pull.end();
			this.readNeeded = true;
			this.contactConfirmed = false;
			this.nextStoreCallNanos = nowNanos;
			this.nextPullNanos = nowNanos;
		}
		this.lastEventNanos = nowNanos;
	}

	private void pullFailed(long nowNanos) {
		this.pull.end();
		this.sources.avoid(this.pullPeer);
		this.nextPullNanos = nowNanos + backoff(this.times.pullRetryMillis(), this.pullFailures++);
	}

	private boolean applyIfNewer(Configuration next, Optional<HostName> from, boolean announce,
			List<TrackerAction> actions) {
		if (next.getRevision() <= this.applied.getRevision()) {
			return false;
		}
		if (!ConfigurationEditor.containsLatestChange(next, this.applied)) {
			this.alarms.raise(AlarmKind.HISTORY_DIVERGED,
					"Revision " + next.getRevision() + " lacks the accepted change of revision "
							+ this.applied.getRevision() + ", which stays in force; compare both and submit a restore",
					actions);
			return false;
		}
		this.applied = next;
		this.alarms.clear(AlarmKind.HISTORY_DIVERGED, actions);
		this.sources.removeUpTo(next.getRevision());
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

	private void performDueWork(long nowNanos, List<TrackerAction> actions) {
		pullIfDue(nowNanos, actions);
		callStoreIfDue(nowNanos, actions);
		TrackerStatus status = status();
		this.alarms.update(AlarmKind.ISOLATED, status.isolated(nowNanos),
				"This node reaches neither the store nor a peer and refuses new work; check its network", actions);
		this.alarms.update(AlarmKind.STORE_UNREACHABLE,
				status.storeAgeMillis(nowNanos) > this.times.storeAlarmDelayMillis(),
				"Neither this node nor any peer known to it reaches the store; no change can be accepted here",
				actions);
	}

	private void pullIfDue(long nowNanos, List<TrackerAction> actions) {
		if (this.pull.pending() || nowNanos - this.nextPullNanos < 0) {
			return;
		}
		boolean behind = highestKnownRevision() > this.applied.getRevision();
		boolean withoutPeerContact = nowNanos
				- this.contacts.lastPeerNanos() >= nanos(this.times.contactTimeoutMillis());
		if (!behind && !withoutPeerContact && this.contactConfirmed) {
			return;
		}
		this.sources.choose(this.members, this.random).ifPresent((peer) -> {
			this.pullPeer = peer;
			this.pull.start(nowNanos);
			long known = this.fullDocumentNeeded ? 0 : this.applied.getRevision();
			actions.add(new TrackerAction.Pull(peer, known));
		});
	}

	private void callStoreIfDue(long nowNanos, List<TrackerAction> actions) {
		boolean due = nowNanos - this.nextStoreCallNanos >= 0;
		if (this.read.pending() || !due) {
			return;
		}
		boolean withoutContact = this.peersExpected
				&& nowNanos - this.contacts.lastPeerNanos() >= nanos(this.times.contactTimeoutMillis())
				&& nowNanos - this.contacts.lastStoreNanos() >= nanos(this.times.contactTimeoutMillis());
		boolean periodicReadDue = !this.watcher && nowNanos - this.nextPeriodicReadNanos >= 0;
		if (withoutContact || periodicReadDue || !this.contactConfirmed || (this.watcher && this.readNeeded)) {
			this.read.start(nowNanos);
			actions.add(new TrackerAction.ReadStore());
		}
		else if (this.watcher && !this.watch.pending()) {
			this.watch.start(nowNanos);
			actions.add(new TrackerAction.WatchStore(this.storeVersion));
		}
	}

	private void updateMembers(MemberView view) {
		this.members = view;
		this.peersExpected |= hasPeers(view);
		boolean selected = WatcherSelection.select(view, view.self().place()).contains(view.self().host());
		if (selected && !this.watcher) {
			this.readNeeded = true;
		}
		this.watcher = selected;
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
