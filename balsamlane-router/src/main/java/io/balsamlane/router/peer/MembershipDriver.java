package io.balsamlane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.balsamlane.core.membership.FailureDetector;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.membership.MembershipAction;
import io.balsamlane.core.membership.MembershipSettings;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.schema.MemberSync;
import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.PeerSettings;
import io.balsamlane.schema.Probe;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Driver that runs the {@link FailureDetector} on the peer thread. Other threads may only
 * call {@link #confirmed} and the methods that return an age or a byte count.
 */
final class MembershipDriver {

	private static final Logger logger = System.getLogger(MembershipDriver.class.getName());

	private static final int TICKS_PER_TIMEOUT = 4;

	private final PeerSettings settings;

	private final EventLoop eventLoop;

	private final UniformRandomProvider random;

	private final Consumer<MembershipAction> actionHandler;

	private final long createdNanos = System.nanoTime();

	private FailureDetector detector;

	private ScheduledFuture<?> timer;

	private List<RouterHost> seeds = List.of();

	private long revision;

	private volatile long synchronizedBytes;

	private volatile StateSnapshot state = new StateSnapshot(this.createdNanos, true, Long.MAX_VALUE, 0);

	MembershipDriver(PeerSettings settings, EventLoop eventLoop, UniformRandomProvider random,
			Consumer<MembershipAction> actionHandler) {
		this.settings = settings;
		this.eventLoop = eventLoop;
		this.random = random;
		this.actionHandler = actionHandler;
	}

	void start(Member self, int adminPort) {
		MembershipSettings times = MembershipSettings.of(this.settings.getProbeMillis(),
				this.settings.getProbeTimeoutMillis(), this.settings.getSuspicionMillis());
		this.detector = FailureDetector.create(self, adminPort, times, this.random, System.nanoTime());
		this.detector.announceRevision(this.revision);
		run((nowNanos) -> this.detector.setSeeds(this.seeds, nowNanos));
		long tickMillis = Math.max(1, this.settings.getProbeTimeoutMillis() / TICKS_PER_TIMEOUT);
		this.timer = this.eventLoop.scheduleWithFixedDelay(this::tick, tickMillis, tickMillis, TimeUnit.MILLISECONDS);
	}

	// An exception would end the periodic task, and the other routers would remove this
	// one.
	private void tick() {
		try {
			run(this.detector::tick);
		}
		catch (RuntimeException ex) {
			logger.log(Level.ERROR, "Membership tick failed; it is repeated at its next time", ex);
		}
	}

	void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	MemberView view() {
		return this.detector.view();
	}

	List<MemberUpdate> snapshot() {
		return (this.detector != null) ? this.detector.snapshot() : List.of();
	}

	Optional<Endpoint> endpoint(HostName host) {
		return (this.detector != null) ? this.detector.endpoint(host) : Optional.empty();
	}

	void received(Probe probe, Endpoint from) {
		run((nowNanos) -> this.detector.received(probe, from, nowNanos));
	}

	void setSeeds(List<RouterHost> routers) {
		this.seeds = routers;
		run((nowNanos) -> this.detector.setSeeds(routers, nowNanos));
	}

	void leave() {
		run((nowNanos) -> this.detector.leave(nowNanos));
	}

	void stop() {
		run((nowNanos) -> this.detector.stop(nowNanos));
	}

	void connectionLost(HostName host) {
		run((nowNanos) -> this.detector.connectionLost(host, nowNanos));
	}

	void synchronize(MemberSync members) {
		this.synchronizedBytes += members.getSerializedSize();
		run((nowNanos) -> this.detector.synchronize(members.getMembersList(), nowNanos));
	}

	void announceRevision(long next) {
		this.revision = next;
		if (this.detector != null) {
			this.detector.announceRevision(next);
		}
	}

	void recordStoreContact(long contactNanos) {
		if (this.detector != null) {
			this.detector.recordStoreContact(contactNanos);
		}
	}

	long synchronizedBytes() {
		return this.synchronizedBytes;
	}

	long storeAgeMillis() {
		StateSnapshot last = this.state;
		return (last.storeAgeMillis() == Long.MAX_VALUE) ? Long.MAX_VALUE
				: last.storeAgeMillis() + sinceMillis(last.nanos());
	}

	long peerAgeMillis() {
		StateSnapshot last = this.state;
		return last.peerAgeMillis() + sinceMillis(last.nanos());
	}

	// After a pause of the process, another thread may run before the peer thread does. A
	// snapshot older than one probe interval therefore counts as an unconfirmed pause.
	boolean confirmed() {
		StateSnapshot last = this.state;
		return last.confirmed() && (this.timer == null || sinceMillis(last.nanos()) <= this.settings.getProbeMillis());
	}

	private static long sinceMillis(long nanos) {
		return Math.max(0, (System.nanoTime() - nanos) / 1_000_000);
	}

	private void run(Function<Long, List<MembershipAction>> step) {
		if (this.detector == null) {
			return;
		}
		long nowNanos = System.nanoTime();
		List<MembershipAction> actions = step.apply(nowNanos);
		this.state = new StateSnapshot(nowNanos, this.detector.confirmed(), this.detector.storeAgeMillis(nowNanos),
				this.detector.peerAgeMillis(nowNanos));
		actions.forEach(this.actionHandler);
	}

	/**
	 * Snapshot of the detector's state for other threads.
	 *
	 * @param nanos the time of the snapshot, in nanoseconds
	 * @param confirmed whether a peer has acknowledged a probe since the last pause of
	 * the process
	 * @param storeAgeMillis the time since the last known contact with the store, in
	 * milliseconds
	 * @param peerAgeMillis the time since a probe was last received from a peer, in
	 * milliseconds
	 */
	private record StateSnapshot(long nanos, boolean confirmed, long storeAgeMillis, long peerAgeMillis) {
	}

}
