package io.balsamlane.router.configuration;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.balsamlane.core.configuration.ConfigurationDelta;
import io.balsamlane.core.configuration.ConfigurationTracker;
import io.balsamlane.core.configuration.PullResult;
import io.balsamlane.core.configuration.StoreAnswer;
import io.balsamlane.core.configuration.TrackerAction;
import io.balsamlane.core.configuration.TrackerStatus;
import io.balsamlane.core.configuration.TrackerTimes;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Apply the newest configuration on this node and submit changes to the store.
 * <p>
 * The tracker runs on a single event loop. Documents are parsed, reconstructed from
 * deltas and compiled on worker threads. Query methods are safe for use by any thread.
 */
public final class ConfigurationManager {

	/** Key of the configuration in the platform store. */
	public static final String KEY = "balsamlane/configuration";

	private static final Logger logger = System.getLogger(ConfigurationManager.class.getName());

	/**
	 * Interval of the tracker timer; also the longest delay until a process pause is
	 * detected.
	 */
	private static final int TIMER_INTERVAL_MILLIS = 100;

	private static final int MAX_SOURCES = 16;

	private final Vertx vertx;

	private final Context context;

	private final PlatformStore store;

	private final PeerNetwork network;

	private final TrackerTimes times;

	private final Consumer<Configuration> listener;

	private final ChangeSubmitter submitter;

	private final InForceQuery inForceQuery;

	private final ConfigurationTracker tracker;

	private volatile TrackerStatus status;

	/** The newest configuration, including one that is still being compiled. */
	private volatile Configuration newest = Configuration.getDefaultInstance();

	private volatile AppliedConfiguration applied = AppliedConfiguration.of(Configuration.getDefaultInstance());

	private volatile Supplier<? extends Collection<HostName>> listedRouters = List::of;

	private volatile boolean running;

	private long timer;

	private ConfigurationManager(Vertx vertx, PlatformStore store, PeerNetwork network, TrackerTimes times,
			Consumer<Configuration> listener) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.store = store;
		this.network = network;
		this.times = times;
		this.listener = listener;
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
		this.tracker = ConfigurationTracker.create(network.members(), times, MAX_SOURCES, random, System.nanoTime());
		this.status = this.tracker.status();
		this.submitter = ChangeSubmitter.create(vertx, store, () -> this.status.highestKnownRevision(),
				this::handleStored);
		this.inForceQuery = InForceQuery.create(network, () -> this.listedRouters.get());
		ConfigurationHandlers.register(network, this);
	}

	/**
	 * Create a configuration manager.
	 * @param vertx provides the event loop and worker threads
	 * @param store the platform store
	 * @param network the network of peer routers
	 * @param times the intervals and timeouts of the tracker
	 * @param listener receives each configuration, on a worker thread; the configuration
	 * is in force when the listener returns
	 * @return the configuration manager
	 */
	public static ConfigurationManager create(Vertx vertx, PlatformStore store, PeerNetwork network, TrackerTimes times,
			Consumer<Configuration> listener) {
		return new ConfigurationManager(vertx, store, network, times, listener);
	}

	/**
	 * Start to track the configuration.
	 */
	public void start() {
		this.running = true;
		this.network.addRevisionListener(
				(contact) -> recordPeerRevision(contact.from(), contact.revision(), this.network.storeAgeMillis()));
		this.network.addMemberListener((view) -> enqueueEvent((now) -> this.tracker.membersChanged(view, now)));
		enqueueEvent(this.tracker::timerFired);
		this.context.runOnContext((started) -> this.timer = this.vertx.setPeriodic(TIMER_INTERVAL_MILLIS,
				(id) -> processEvent(this.tracker::timerFired)));
	}

	/**
	 * Stop tracking the configuration.
	 */
	public void stop() {
		this.running = false;
		this.context.runOnContext((stopped) -> this.vertx.cancelTimer(this.timer));
	}

	/**
	 * Return the configuration in force on this node.
	 * @return the configuration
	 */
	public Configuration applied() {
		return this.applied.configuration();
	}

	/**
	 * Return the revision in force on this node, which is sent in probes.
	 * @return the revision, 0 if none is
	 */
	public long appliedRevision() {
		return this.applied.configuration().getRevision();
	}

	/**
	 * Return the time since the last known contact with the store, made by this node or
	 * reported by a peer. The value is sent in probes.
	 * @return the age in milliseconds
	 */
	public int storeAgeMillis() {
		return (int) Math.min(Integer.MAX_VALUE, this.status.storeAgeMillis(System.nanoTime()));
	}

	/**
	 * Record the revision that a peer reported. A network that implements
	 * {@link PeerNetwork#addRevisionListener} reports revisions by itself.
	 * @param peer the peer
	 * @param revision the revision in force on the peer
	 * @param storeAgeMillis time since the last contact with the store that is known to
	 * the peer, in milliseconds
	 */
	public void recordPeerRevision(HostName peer, long revision, long storeAgeMillis) {
		enqueueEvent((now) -> this.tracker.revisionAnnounced(peer, revision, storeAgeMillis, now));
	}

	/**
	 * Set the source of the routers in the host list.
	 * @param routers supplies the hosts that are expected to apply each revision
	 */
	public void setListedRouters(Supplier<? extends Collection<HostName>> routers) {
		this.listedRouters = routers;
	}

	/**
	 * Set whether other routers are expected. If none are, a store outage does not
	 * isolate this node.
	 * @param expected whether the host list contains other routers
	 */
	public void expectPeers(boolean expected) {
		enqueueEvent((now) -> {
			this.tracker.expectPeers(expected);
			return List.of();
		});
	}

	/**
	 * Return whether this node may be isolated from all others and must reject new
	 * requests.
	 * @return true if this node may be isolated
	 */
	public boolean isolated() {
		return this.status.isolated(System.nanoTime());
	}

	/**
	 * Return the status of the tracker, including its alarms.
	 * @return the status
	 */
	public TrackerStatus status() {
		return this.status;
	}

	AppliedConfiguration appliedConfiguration() {
		return this.applied;
	}

	/**
	 * Submit a change. If the response of the store is lost, the outcome is determined by
	 * reading the configuration back.
	 * @param change the change, with a unique id
	 * @return the outcome
	 */
	public Future<SubmitResult> submit(Change change) {
		return this.submitter.submit(change);
	}

	/**
	 * Write the configuration in force back to a store that holds an older document or
	 * none.
	 * @param change the id and author of the restore
	 * @return the outcome
	 */
	public Future<SubmitResult> restore(Change change) {
		return this.submitter.restore(applied(), change);
	}

	/**
	 * Query all routers for whether a revision is in force.
	 * @param revision the revision
	 * @return the hosts, grouped by their answers
	 */
	public Future<InForce> inForce(long revision) {
		return this.inForceQuery.query(revision);
	}

	private List<TrackerAction> handleTimer(long nowNanos) {
		this.tracker.contactsReported(this.network.peerAgeMillis(), this.network.storeAgeMillis(), nowNanos);
		return this.tracker.timerFired(nowNanos);
	}

	private void handleStored(Configuration configuration) {
		enqueueEvent((now) -> this.tracker.configurationStored(configuration, now));
	}

	private void enqueueEvent(Function<Long, List<TrackerAction>> event) {
		this.context.runOnContext((done) -> processEvent(event));
	}

	private void processEvent(Function<Long, List<TrackerAction>> event) {
		if (!this.running) {
			return;
		}
		List<TrackerAction> actions = event.apply(System.nanoTime());
		this.status = this.tracker.status();
		this.newest = this.tracker.applied();
		actions.forEach(this::perform);
	}

	private void perform(TrackerAction action) {
		if (action instanceof TrackerAction.ReadStore) {
			this.store.get(KEY)
				.compose(this::parse)
				.onSuccess((answer) -> handleStoreAnswer(answer, (now) -> this.tracker.storeRead(answer, now)));
		}
		else if (action instanceof TrackerAction.WatchStore watch) {
			this.store.watch(KEY, watch.afterVersion())
				.compose(this::parse)
				.onSuccess((answer) -> handleStoreAnswer(answer, (now) -> this.tracker.watchEnded(answer, now)));
		}
		else if (action instanceof TrackerAction.Pull pull) {
			ConfigurationHandlers.pull(this.network, this, pull, this.times.pullTimeoutMillis())
				.compose((update) -> this.vertx.executeBlocking(() -> update.apply(this.newest)))
				.otherwise((cause) -> new PullResult.Failed(String.valueOf(cause.getMessage())))
				.onSuccess((result) -> enqueueEvent((now) -> this.tracker.pullEnded(pull.peer(), result, now)));
		}
		else if (action instanceof TrackerAction.Apply apply) {
			apply(apply.configuration());
		}
		else if (action instanceof TrackerAction.Announce announce) {
			announce.peers()
				.forEach((peer) -> ConfigurationHandlers.notify(this.network, this, peer, announce.revision(),
						this.times.pullTimeoutMillis()));
		}
		else if (action instanceof TrackerAction.RaiseAlarm alarm) {
			logger.log(Level.WARNING, "Alarm {0}: {1}", alarm.kind(), alarm.message());
		}
		else if (action instanceof TrackerAction.ClearAlarm alarm) {
			logger.log(Level.INFO, "Alarm {0} is cleared", alarm.kind());
		}
	}

	private void handleStoreAnswer(StoreAnswer answer, Function<Long, List<TrackerAction>> event) {
		if (!(answer instanceof StoreAnswer.Failed)) {
			this.network.recordStoreContact();
		}
		enqueueEvent(event);
	}

	private Future<StoreAnswer> parse(StoreRead read) {
		if (read instanceof StoreRead.Found found) {
			return this.vertx.executeBlocking(() -> parse(found));
		}
		if (read instanceof StoreRead.Unavailable unavailable) {
			return Future.succeededFuture(new StoreAnswer.Failed(unavailable.message()));
		}
		return Future.succeededFuture(
				(read instanceof StoreRead.Absent) ? new StoreAnswer.Absent() : new StoreAnswer.Unchanged());
	}

	private static StoreAnswer parse(StoreRead.Found found) {
		try {
			return new StoreAnswer.Document(Configuration.parseFrom(found.value()), found.version());
		}
		catch (InvalidProtocolBufferException ex) {
			return new StoreAnswer.Damaged(found.version(), String.valueOf(ex.getMessage()));
		}
	}

	private void apply(Configuration configuration) {
		long startNanos = System.nanoTime();
		this.context.executeBlocking(() -> {
			this.listener.accept(configuration);
			return AppliedConfiguration.of(configuration);
		}, true).onSuccess((next) -> {
			this.applied = next;
			logger.log(Level.DEBUG, "Revision {0,number,#} was compiled in {1,number,#} ms",
					configuration.getRevision(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
		})
			.onFailure((cause) -> logger.log(Level.ERROR,
					"Revision " + configuration.getRevision() + " cannot be applied", cause));
	}

	/**
	 * A configuration in force and its digest.
	 *
	 * @param configuration the configuration
	 * @param digest its digest
	 */
	record AppliedConfiguration(Configuration configuration, long digest) {

		static AppliedConfiguration of(Configuration configuration) {
			return new AppliedConfiguration(configuration, ConfigurationDelta.digest(configuration));
		}

	}

}
