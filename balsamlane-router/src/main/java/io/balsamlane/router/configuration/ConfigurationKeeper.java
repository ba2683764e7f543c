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
 * Keeps the newest configuration in force on this node and submits changes.
 * <p>
 * The tracker runs on one event loop; documents are parsed, rebuilt and compiled on
 * worker threads. Queries are safe for use by any thread.
 */
public final class ConfigurationKeeper {

	/** Key of the configuration in the platform store. */
	public static final String KEY = "balsamlane/configuration";

	private static final Logger logger = System.getLogger(ConfigurationKeeper.class.getName());

	/** Also bounds how late a pause of the process is noticed. */
	private static final int TIMER_MILLIS = 100;

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

	/** Newest configuration, also while it is still being compiled. */
	private volatile Configuration newest = Configuration.getDefaultInstance();

	private volatile AppliedConfiguration applied = AppliedConfiguration.of(Configuration.getDefaultInstance());

	private volatile Supplier<? extends Collection<HostName>> listedRouters = List::of;

	private volatile boolean running;

	private long timer;

	private ConfigurationKeeper(Vertx vertx, PlatformStore store, PeerNetwork network, TrackerTimes times,
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
		this.submitter = ChangeSubmitter.create(vertx, store, () -> this.status.highestKnownRevision(), this::accepted);
		this.inForceQuery = InForceQuery.create(network, () -> this.listedRouters.get());
		ConfigurationHandlers.register(network, this);
	}

	/**
	 * Creates a keeper.
	 * @param vertx the event loops to use
	 * @param store the platform store
	 * @param network the other routers
	 * @param times the times to keep
	 * @param listener receives each configuration, on a worker thread; the configuration
	 * is in force when the listener returns
	 * @return the keeper
	 */
	public static ConfigurationKeeper create(Vertx vertx, PlatformStore store, PeerNetwork network, TrackerTimes times,
			Consumer<Configuration> listener) {
		return new ConfigurationKeeper(vertx, store, network, times, listener);
	}

	/**
	 * Starts to follow the configuration.
	 */
	public void start() {
		this.running = true;
		this.network
			.addRevisionListener((heard) -> announced(heard.from(), heard.revision(), this.network.storeAgeMillis()));
		this.network.addMemberListener((view) -> track((now) -> this.tracker.membersChanged(view, now)));
		track(this.tracker::timerFired);
		this.context.runOnContext(
				(started) -> this.timer = this.vertx.setPeriodic(TIMER_MILLIS, (id) -> run(this.tracker::timerFired)));
	}

	/**
	 * Stops following.
	 */
	public void stop() {
		this.running = false;
		this.context.runOnContext((stopped) -> this.vertx.cancelTimer(this.timer));
	}

	/**
	 * Returns the configuration in force on this node.
	 * @return the configuration
	 */
	public Configuration applied() {
		return this.applied.configuration();
	}

	/**
	 * Returns the revision in force on this node; probes carry it.
	 * @return the revision, 0 if none is
	 */
	public long appliedRevision() {
		return this.applied.configuration().getRevision();
	}

	/**
	 * Returns the time since this node, or a peer that it heard of, heard from the store;
	 * probes carry it.
	 * @return the age in milliseconds
	 */
	public int storeAgeMillis() {
		return (int) Math.min(Integer.MAX_VALUE, this.status.storeAgeMillis(System.nanoTime()));
	}

	/**
	 * Takes an announcement of a peer. A network that implements
	 * {@link PeerNetwork#addRevisionListener} needs no other call.
	 * @param peer the peer
	 * @param revision revision in force on the peer
	 * @param storeAgeMillis time since the peer or its source heard from the store
	 */
	public void announced(HostName peer, long revision, long storeAgeMillis) {
		track((now) -> this.tracker.revisionAnnounced(peer, revision, storeAgeMillis, now));
	}

	/**
	 * Takes the other routers of the host list.
	 * @param routers source of the hosts that are expected to have each revision in force
	 */
	public void listedRouters(Supplier<? extends Collection<HostName>> routers) {
		this.listedRouters = routers;
	}

	/**
	 * Tells whether there are other routers; without any, a store outage does not isolate
	 * this node.
	 * @param expected whether the host list shows other routers
	 */
	public void expectPeers(boolean expected) {
		track((now) -> {
			this.tracker.expectPeers(expected);
			return List.of();
		});
	}

	/**
	 * Tells whether this node may be cut off from all others and has to refuse new work.
	 * @return true if it may be
	 */
	public boolean isolated() {
		return this.status.isolated(System.nanoTime());
	}

	/**
	 * Returns the state of the tracker, with its alarms.
	 * @return the state
	 */
	public TrackerStatus status() {
		return this.status;
	}

	AppliedConfiguration appliedConfiguration() {
		return this.applied;
	}

	/**
	 * Submits a change. A lost answer of the store is settled by reading the
	 * configuration back.
	 * @param change the change, with its own id
	 * @return the outcome
	 */
	public Future<SubmitResult> submit(Change change) {
		return this.submitter.submit(change);
	}

	/**
	 * Writes the configuration in force back to a store that holds an older document or
	 * none.
	 * @param change id and author of the restore
	 * @return the outcome
	 */
	public Future<SubmitResult> restore(Change change) {
		return this.submitter.restore(applied(), change);
	}

	/**
	 * Asks all routers whether a revision is in force.
	 * @param revision the revision
	 * @return the hosts, by their answers
	 */
	public Future<InForce> inForce(long revision) {
		return this.inForceQuery.ask(revision);
	}

	private List<TrackerAction> tick(long nowNanos) {
		this.tracker.contactsReported(this.network.peerAgeMillis(), this.network.storeAgeMillis(), nowNanos);
		return this.tracker.timerFired(nowNanos);
	}

	private void accepted(Configuration configuration) {
		track((now) -> this.tracker.configurationStored(configuration, now));
	}

	private void track(Function<Long, List<TrackerAction>> event) {
		this.context.runOnContext((done) -> run(event));
	}

	private void run(Function<Long, List<TrackerAction>> event) {
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
				.onSuccess((answer) -> answered(answer, (now) -> this.tracker.storeRead(answer, now)));
		}
		else if (action instanceof TrackerAction.WatchStore watch) {
			this.store.watch(KEY, watch.afterVersion())
				.compose(this::parse)
				.onSuccess((answer) -> answered(answer, (now) -> this.tracker.watchEnded(answer, now)));
		}
		else if (action instanceof TrackerAction.Pull pull) {
			ConfigurationHandlers.pull(this.network, this, pull, this.times.pullTimeoutMillis())
				.compose((update) -> this.vertx.executeBlocking(() -> update.apply(this.newest)))
				.otherwise((cause) -> new PullResult.Failed(String.valueOf(cause.getMessage())))
				.onSuccess((result) -> track((now) -> this.tracker.pullEnded(pull.peer(), result, now)));
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

	private void answered(StoreAnswer answer, Function<Long, List<TrackerAction>> event) {
		if (!(answer instanceof StoreAnswer.Failed)) {
			this.network.recordStoreContact();
		}
		track(event);
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
		long beganNanos = System.nanoTime();
		this.context.executeBlocking(() -> {
			this.listener.accept(configuration);
			return AppliedConfiguration.of(configuration);
		}, true).onSuccess((next) -> {
			this.applied = next;
			logger.log(Level.DEBUG, "Revision {0,number,#} was compiled in {1,number,#} ms",
					configuration.getRevision(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos));
		})
			.onFailure((cause) -> logger.log(Level.ERROR,
					"Revision " + configuration.getRevision() + " cannot be brought into force", cause));
	}

	/**
	 * A configuration in force, with its digest.
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
