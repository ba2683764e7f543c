package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.Probe;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * SWIM failure detector and membership protocol: detects which routers are alive, with a
 * probe load per router that does not depend on the number of routers.
 * <p>
 * Each call takes the current time of a monotonic clock and returns the actions that the
 * caller must perform. {@link #tick} must be called several times in each probe timeout.
 * Not thread-safe. Source: Das et al., SWIM: Scalable Weakly-consistent Infection-style
 * Process Group Membership Protocol, 2002.
 */
public final class FailureDetector {

	private static final int INDIRECT_PROBES = 3;

	private final MembershipSettings settings;

	private final RejoinTargets rejoin;

	private final MemberTable table;

	private final ProbeOrder order;

	private final Dissemination dissemination;

	private final SynchronizeSchedule synchronization;

	private final PendingProbes pending = new PendingProbes();

	private final String host;

	private final long probeNanos;

	private MemberView view;

	private boolean confirmed = true;

	private boolean resumed;

	private long reportedIncarnation;

	private long firstConfirmingSequence;

	private long lastNanos;

	private long nextProbeNanos;

	private long peerContactNanos;

	private long highestRevision;

	private FailureDetector(Member self, int adminPort, MembershipSettings settings, UniformRandomProvider random,
			long nowNanos) {
		this.settings = settings;
		this.host = self.host().value();
		this.table = new MemberTable(settings.maxMembers(), nowNanos);
		this.order = new ProbeOrder(this.table, random, this.host);
		this.rejoin = new RejoinTargets(this.table, random, this.host, settings.maxMembers());
		this.dissemination = new Dissemination(settings, this.table, this.order,
				MemberUpdate.newBuilder()
					.setHost(this.host)
					.setIncarnation(self.incarnation())
					.setStatus(MemberStatus.ALIVE)
					.setPlace(self.place().value())
					.setAddress(self.peer().address())
					.setPeerPort(self.peer().port())
					.setAdminPort(adminPort)
					.build());
		this.probeNanos = settings.probeMillis() * 1_000_000;
		this.synchronization = new SynchronizeSchedule(this.probeNanos / 2, nowNanos);
		this.reportedIncarnation = self.incarnation() - 1;
		this.lastNanos = nowNanos;
		this.nextProbeNanos = nowNanos + random.nextLong(this.probeNanos);
		this.peerContactNanos = nowNanos;
		this.view = this.table.view(this.dissemination.self());
	}

	/**
	 * Create a detector.
	 * @param self this node; its incarnation must be higher than in earlier runs
	 * @param adminPort port for operators, announced to the other members
	 * @param settings intervals, timeouts and size limits
	 * @param random source of randomness
	 * @param nowNanos the current time, in nanoseconds
	 * @return the detector
	 */
	public static FailureDetector create(Member self, int adminPort, MembershipSettings settings,
			UniformRandomProvider random, long nowNanos) {
		return new FailureDetector(self, adminPort, settings, random, nowNanos);
	}

	/**
	 * Return the members that are eligible to own keys.
	 * @return the current view
	 */
	public MemberView view() {
		return this.view;
	}

	/**
	 * Return the state of all nodes as known to this node, including itself and removed
	 * nodes.
	 * @return one update for each node
	 */
	public List<MemberUpdate> snapshot() {
		return Stream
			.concat(Stream.of(this.dissemination.self()), this.table.entries().stream().map(MemberEntry::update))
			.toList();
	}

	/**
	 * Return whether a peer has acknowledged a probe since the last pause of this
	 * process. Until then, other members may have removed this node without its
	 * knowledge.
	 * @return true if a peer has acknowledged one, there was no pause or there is no
	 * other node
	 */
	public boolean confirmed() {
		return this.confirmed || this.table.size() == 0;
	}

	/**
	 * Return the time since the last known contact with the store, either by this node or
	 * by another one that reported it in a probe.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} if no contact is known
	 */
	public long storeAgeMillis(long nowNanos) {
		return this.dissemination.storeAgeMillis(nowNanos);
	}

	/**
	 * Return the time since a probe was last received from a live peer.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the age in milliseconds, measured from the start of the detector if none
	 * was received
	 */
	public long peerAgeMillis(long nowNanos) {
		return (nowNanos - this.peerContactNanos) / 1_000_000;
	}

	/**
	 * Find the address of a node that has not been removed, including one that is
	 * leaving.
	 * @param name the host
	 * @return the address for other routers, empty if there is no such node
	 */
	public Optional<Endpoint> endpoint(HostName name) {
		return this.table.find(name.value()).filter((entry) -> !entry.dead()).map(MemberEntry::endpoint);
	}

	int tableSize() {
		return Math.max(this.table.size(), Math.max(this.pending.size(), this.dissemination.queueSize()));
	}

	/**
	 * Replace the seed nodes by the routers of the platform's host list.
	 * @param routers the routers of the list, which may include this node
	 * @param nowNanos the current time, in nanoseconds
	 * @return the actions to perform
	 */
	public List<MembershipAction> setSeeds(List<RouterHost> routers, long nowNanos) {
		List<MembershipAction> actions = beginCall(nowNanos);
		this.rejoin.setSeeds(routers);
		if (this.table.liveCount() == 0) {
			rejoin(actions, nowNanos);
		}
		return finishCall(actions, nowNanos);
	}

	/**
	 * Announce the configuration revision that is in force on this node.
	 * @param revision the revision
	 */
	public void announceRevision(long revision) {
		this.highestRevision = Math.max(this.highestRevision, revision);
		this.dissemination.advanceRevision(revision);
	}

	/**
	 * Record a contact of this node with the store.
	 * @param contactNanos the time of the contact, in nanoseconds
	 */
	public void recordStoreContact(long contactNanos) {
		this.dissemination.recordStoreContact(contactNanos);
	}

	/**
	 * Suspect a member whose connection was reset and cannot be reopened.
	 * @param lost the member
	 * @param nowNanos the current time, in nanoseconds
	 * @return the actions to perform
	 */
	public List<MembershipAction> connectionLost(HostName lost, long nowNanos) {
		List<MembershipAction> actions = beginCall(nowNanos);
		this.table.find(lost.value()).ifPresent((entry) -> suspect(entry, actions, nowNanos));
		return finishCall(actions, nowNanos);
	}

	/**
	 * Announce that this node is leaving: it no longer owns any key but still answers
	 * probes.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the actions to perform
	 */
	public List<MembershipAction> leave(long nowNanos) {
		return announce(MemberStatus.LEAVING, nowNanos);
	}

	/**
	 * Announce that this process is stopping. No method may be called afterwards.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the actions to perform
	 */
	public List<MembershipAction> stop(long nowNanos) {
		return announce(MemberStatus.DEAD, nowNanos);
	}

	private List<MembershipAction> announce(MemberStatus status, long nowNanos) {
		List<MembershipAction> actions = beginCall(nowNanos);
		this.dissemination.setSelf(this.dissemination.self().toBuilder().setStatus(status).build());
		this.table.markChanged();
		actions.addAll(this.dissemination.push(nowNanos));
		return finishCall(actions, nowNanos);
	}

	/**
	 * Send the probes that are due, suspect members whose probes have timed out and
	 * remove members whose suspicion has timed out.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the actions to perform
	 */
	public List<MembershipAction> tick(long nowNanos) {
		List<MembershipAction> actions = beginCall(nowNanos);
		this.pending.takeOverdue(this.settings.probeTimeoutMillis() * 1_000_000, nowNanos)
			.forEach((probe) -> this.order.sample(INDIRECT_PROBES, probe.host())
				.forEach((relay) -> actions.add(this.dissemination.send(relay.endpoint(), relay.host(),
						this.dissemination.header(Probe.Kind.PING_REQUEST, probe.sequence(), nowNanos)
							.setTargetHost(probe.host())))));
		long limitNanos = 2 * this.settings.probeTimeoutMillis() * 1_000_000;
		this.pending.takeExpired(limitNanos, nowNanos)
			.forEach((probe) -> this.table.find(probe.host()).ifPresent((entry) -> suspect(entry, actions, nowNanos)));
		long suspicionNanos = this.settings.suspicionMillis() * 1_000_000;
		this.table.select(
				(entry) -> entry.status() == MemberStatus.SUSPECT && entry.nanosSinceChange(nowNanos) >= suspicionNanos)
			.forEach((entry) -> change(entry, MemberStatus.DEAD, actions, nowNanos));
		if (this.resumed) {
			this.resumed = false;
			this.order.sample(INDIRECT_PROBES, "").forEach((entry) -> probe(entry, actions, nowNanos));
		}
		if (nowNanos - this.nextProbeNanos >= 0) {
			this.nextProbeNanos = Math.max(this.nextProbeNanos + this.probeNanos, nowNanos + this.probeNanos / 2);
			probeRound(actions, nowNanos);
		}
		actions.addAll(this.dissemination.push(nowNanos));
		return finishCall(actions, nowNanos);
	}

	private void probeRound(List<MembershipAction> actions, long nowNanos) {
		this.table.removeExpired(this.settings.tombstoneMillis() * 1_000_000, nowNanos);
		Optional<MemberEntry> successor = this.order.ringSuccessor();
		successor.ifPresent((entry) -> probe(entry, actions, nowNanos));
		this.order.nextInCycle()
			.filter((entry) -> successor.isEmpty() || entry != successor.get())
			.ifPresent((entry) -> probe(entry, actions, nowNanos));
		rejoin(actions, nowNanos);
	}

	private void probe(MemberEntry entry, List<MembershipAction> actions, long nowNanos) {
		long sequence = this.dissemination.nextSequence();
		this.pending.add(sequence, entry.host(), nowNanos);
		actions.add(this.dissemination.send(entry.endpoint(), entry.host(),
				this.dissemination.header(Probe.Kind.PING, sequence, nowNanos)));
	}

	private void rejoin(List<MembershipAction> actions, long nowNanos) {
		this.rejoin.select()
			.forEach((name, endpoint) -> actions.add(this.dissemination.send(endpoint, name,
					this.dissemination.header(Probe.Kind.JOIN, this.dissemination.nextSequence(), nowNanos))));
	}

	/**
	 * Process a received datagram.
	 * @param probe the authenticated message
	 * @param from the address of its sender
	 * @param nowNanos the current time, in nanoseconds
	 * @return the actions to perform
	 */
	public List<MembershipAction> received(Probe probe, Endpoint from, long nowNanos) {
		List<MembershipAction> actions = beginCall(nowNanos);
		long incarnation = this.dissemination.self().getIncarnation();
		NodeId sender = probe.getFrom();
		if (!MemberEntry.validHost(sender.getHost()) || sender.getHost().equals(this.host)) {
			return finishCall(actions, nowNanos);
		}
		probe.getUpdatesList()
			.stream()
			.filter((update) -> update.getHost().equals(sender.getHost()))
			.forEach((update) -> accept(update, actions, nowNanos));
		applySenderIncarnation(sender, actions, nowNanos);
		// From a removed sender, only an update that declares this node dead is accepted:
		// its other updates may be as old as its removal, or it may receive no datagrams
		// and therefore suspect all members.
		boolean trusted = this.table.find(sender.getHost())
			.filter((entry) -> !entry.dead() && sender.getIncarnation() == entry.update().getIncarnation())
			.isPresent();
		probe.getUpdatesList()
			.stream()
			.filter((update) -> trusted
					|| (update.getHost().equals(this.host) && update.getStatus() == MemberStatus.DEAD))
			.forEach((update) -> accept(update, actions, nowNanos));
		if (trusted) {
			processHeader(probe, sender, actions, nowNanos);
		}
		respond(probe, from, actions, nowNanos);
		if (this.dissemination.self().getIncarnation() != incarnation) {
			// Refute directly: the sender may be the only node on its side of a partition
			// that this node can reach.
			actions.add(this.dissemination.send(from, sender.getHost(),
					this.dissemination.header(Probe.Kind.UPDATE, 0, nowNanos)));
		}
		return finishCall(actions, nowNanos);
	}

	private void applySenderIncarnation(NodeId sender, List<MembershipAction> actions, long nowNanos) {
		this.table.find(sender.getHost())
			.filter((entry) -> Long.compareUnsigned(sender.getIncarnation(), entry.update().getIncarnation()) > 0)
			.ifPresent((entry) -> accept(entry.update()
				.toBuilder()
				.setIncarnation(sender.getIncarnation())
				.setStatus(MemberStatus.ALIVE)
				.build(), actions, nowNanos));
	}

	private void processHeader(Probe probe, NodeId sender, List<MembershipAction> actions, long nowNanos) {
		this.peerContactNanos = nowNanos;
		if (probe.getStoreAgeMillis() != Dissemination.UNKNOWN_AGE) {
			this.dissemination.recordStoreContact(nowNanos - (probe.getStoreAgeMillis() & 0xFFFFFFFFL) * 1_000_000);
		}
		if (probe.getConfigurationRevision() > this.highestRevision) {
			this.highestRevision = probe.getConfigurationRevision();
			actions.add(new MembershipAction.RevisionAnnounced(HostName.of(sender.getHost()), this.highestRevision));
		}
		if (probe.getMemberDigest() != this.dissemination.digest()
				&& this.synchronization.takeIfDue(this.table.nanosSinceChange(nowNanos), nowNanos)) {
			this.table.find(sender.getHost())
				.ifPresent((entry) -> actions
					.add(new MembershipAction.Synchronize(HostName.of(entry.host()), entry.endpoint())));
		}
	}

	private void respond(Probe probe, Endpoint from, List<MembershipAction> actions, long nowNanos) {
		switch (probe.getKind()) {
			case PING, JOIN -> actions.add(this.dissemination.send(from, probe.getFrom().getHost(),
					this.dissemination.header(Probe.Kind.ACK, probe.getSequence(), nowNanos)));
			case ACK -> processAck(probe.getSequence(), actions, nowNanos);
			case PING_REQUEST -> this.table.find(probe.getTargetHost()).ifPresent((entry) -> {
				long sequence = this.dissemination.nextSequence();
				this.pending.addRelay(sequence, new PendingProbes.Relay(from, probe.getSequence(), nowNanos));
				actions.add(this.dissemination.send(entry.endpoint(), entry.host(),
						this.dissemination.header(Probe.Kind.PING, sequence, nowNanos)));
			});
			default -> {
			}
		}
	}

	private void processAck(long sequence, List<MembershipAction> actions, long nowNanos) {
		this.confirmed |= sequence >= this.firstConfirmingSequence;
		this.pending.acknowledge(sequence);
		this.pending.takeRelay(sequence)
			.ifPresent((relay) -> actions.add(new MembershipAction.Send(relay.requester(),
					this.dissemination.header(Probe.Kind.ACK, relay.sequence(), nowNanos).build())));
	}

	/**
	 * Merge the member table of a peer into that of this node.
	 * @param members the peer's updates about all nodes
	 * @param nowNanos the current time, in nanoseconds
	 * @return the actions to perform
	 */
	public List<MembershipAction> synchronize(List<MemberUpdate> members, long nowNanos) {
		List<MembershipAction> actions = beginCall(nowNanos);
		this.synchronization.recordExchange();
		members.forEach((update) -> accept(update, actions, nowNanos));
		return finishCall(actions, nowNanos);
	}

	private void accept(MemberUpdate update, List<MembershipAction> actions, long nowNanos) {
		if (!MemberEntry.valid(update)) {
			return;
		}
		if (update.getHost().equals(this.host)) {
			acceptSelfUpdate(update, actions);
			return;
		}
		MemberEntry entry = this.table.find(update.getHost()).orElse(null);
		if (entry == null) {
			change(MemberStatus.DEAD, update, actions, nowNanos);
		}
		else if (MemberEntry.overrides(update, entry.update())) {
			// A member that this node considers alive is suspected before it is removed:
			// after a partition, updates of the other side must not remove live members.
			boolean unsuspected = update.getStatus() == MemberStatus.DEAD && entry.status() == MemberStatus.ALIVE;
			change(entry.status(), unsuspected ? update.toBuilder().setStatus(MemberStatus.SUSPECT).build() : update,
					actions, nowNanos);
		}
	}

	private void acceptSelfUpdate(MemberUpdate update, List<MembershipAction> actions) {
		MemberUpdate self = this.dissemination.self();
		int order = Long.compareUnsigned(update.getIncarnation(), self.getIncarnation());
		boolean dead = update.getStatus() == MemberStatus.DEAD;
		if (order > 0 || (order == 0 && MemberEntry.overrides(update, self))) {
			this.dissemination.setSelf(self.toBuilder().setIncarnation(update.getIncarnation() + 1).build());
			this.table.markChanged();
			// Until a peer has answered after a pause, treat a suspicion as a removal:
			// the suspicion timeout may have expired during the pause.
			dead |= !this.confirmed;
		}
		if (dead && Long.compareUnsigned(update.getIncarnation(), this.reportedIncarnation) > 0) {
			this.reportedIncarnation = update.getIncarnation();
			// Placed first, so that the caller learns of the removal before it sends
			// anything.
			actions.add(0, new MembershipAction.RemovalRefuted(update.getIncarnation(),
					this.dissemination.self().getIncarnation()));
		}
	}

	private void suspect(MemberEntry entry, List<MembershipAction> actions, long nowNanos) {
		if (entry.status() == MemberStatus.ALIVE || entry.status() == MemberStatus.LEAVING) {
			boolean leaving = entry.status() == MemberStatus.LEAVING;
			change(entry, leaving ? MemberStatus.DEAD : MemberStatus.SUSPECT, actions, nowNanos);
		}
	}

	private void change(MemberEntry entry, MemberStatus next, List<MembershipAction> actions, long nowNanos) {
		change(entry.status(), entry.update().toBuilder().setStatus(next).build(), actions, nowNanos);
	}

	private void change(MemberStatus before, MemberUpdate next, List<MembershipAction> actions, long nowNanos) {
		if (!this.table.put(next, nowNanos)) {
			return;
		}
		this.dissemination.enqueue(next);
		Member member = MemberEntry.memberOf(next);
		boolean wasEligible = before == MemberStatus.ALIVE || before == MemberStatus.SUSPECT;
		boolean eligible = next.getStatus() == MemberStatus.ALIVE || next.getStatus() == MemberStatus.SUSPECT;
		if (eligible && !wasEligible) {
			actions.add(new MembershipAction.Joined(member));
		}
		if (next.getStatus() == MemberStatus.SUSPECT && before != MemberStatus.SUSPECT) {
			actions.add(new MembershipAction.Suspected(member));
			// Notify the suspected member, so that it can refute without delay.
			actions.add(this.dissemination.send(member.peer(), next.getHost(),
					this.dissemination.header(Probe.Kind.PING, this.dissemination.nextSequence(), nowNanos)));
		}
		if (next.getStatus() == MemberStatus.LEAVING && wasEligible) {
			actions.add(new MembershipAction.Left(member));
		}
		if (next.getStatus() == MemberStatus.DEAD && before != MemberStatus.DEAD) {
			actions.add(new MembershipAction.Removed(member));
		}
	}

	// Detect a pause of this process. Acknowledgements that arrived during the pause have
	// not been read, so their absence does not indicate a failure.
	private List<MembershipAction> beginCall(long nowNanos) {
		List<MembershipAction> actions = new ArrayList<>();
		long gapNanos = nowNanos - this.lastNanos;
		this.lastNanos = nowNanos;
		if (gapNanos > this.probeNanos) {
			this.pending.clear();
			this.table.entries().forEach((entry) -> entry.excludePause(gapNanos));
			this.confirmed = false;
			this.firstConfirmingSequence = this.dissemination.sequence() + 1;
			actions.add(new MembershipAction.Paused(gapNanos / 1_000_000));
			this.resumed = true;
		}
		return actions;
	}

	private List<MembershipAction> finishCall(List<MembershipAction> actions, long nowNanos) {
		if (this.table.getAndClearChanged()) {
			this.synchronization.tableChanged();
			MemberView next = this.table.view(this.dissemination.self());
			if (!next.equals(this.view)) {
				this.view = next;
				actions.add(new MembershipAction.ViewChanged(next));
			}
		}
		return List.copyOf(actions);
	}

}
