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
 * Finds out which routers are alive, by probes whose cost does not depend on the number
 * of routers.
 * <p>
 * Each call takes the present time of a monotonic clock and returns what is to be done.
 * {@link #tick} is to be called several times in each probe timeout. Not safe for use by
 * several threads. Source: Das et al., SWIM: Scalable Weakly-consistent Infection-style
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

	private long confirmingSequence;

	private long lastNanos;

	private long nextProbeNanos;

	private long peerContactNanos;

	private long heardRevision;

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
		this.synchronization = new SynchronizeSchedule(2 * this.probeNanos, nowNanos);
		this.lastNanos = nowNanos;
		this.nextProbeNanos = nowNanos + random.nextLong(this.probeNanos);
		this.peerContactNanos = nowNanos;
		this.view = createView();
	}

	/**
	 * Creates a detector.
	 * @param self this node; its incarnation must be above that of earlier runs
	 * @param adminPort port for operators, announced to the others
	 * @param settings times and bounds
	 * @param random source of randomness
	 * @param nowNanos the present time, in nanoseconds
	 * @return the detector
	 */
	public static FailureDetector create(Member self, int adminPort, MembershipSettings settings,
			UniformRandomProvider random, long nowNanos) {
		return new FailureDetector(self, adminPort, settings, random, nowNanos);
	}

	/**
	 * Returns the members that may own something.
	 * @return the members
	 */
	public MemberView view() {
		return this.view;
	}

	/**
	 * Returns the statements of this node about all nodes, itself and removed ones
	 * included.
	 * @return the statements
	 */
	public List<MemberUpdate> snapshot() {
		return Stream
			.concat(Stream.of(this.dissemination.self()), this.table.entries().stream().map(MemberEntry::update))
			.toList();
	}

	/**
	 * Tells whether a peer has answered since the last pause of this process. While it
	 * has not, others may have removed this node without its knowledge.
	 * @return true if a peer has answered or there was no pause
	 */
	public boolean confirmed() {
		return this.confirmed || this.table.size() == 0;
	}

	/**
	 * Returns the time since this node, or the node it heard of it from, last heard from
	 * the store.
	 * @param nowNanos the present time, in nanoseconds
	 * @return the age in milliseconds, the highest number if there was no contact
	 */
	public long storeAgeMillis(long nowNanos) {
		return this.dissemination.storeAgeMillis(nowNanos);
	}

	/**
	 * Returns the time since a peer was last heard.
	 * @param nowNanos the present time, in nanoseconds
	 * @return the age in milliseconds, counted from the start if no peer was heard
	 */
	public long peerAgeMillis(long nowNanos) {
		return (nowNanos - this.peerContactNanos) / 1_000_000;
	}

	/**
	 * Finds the address of a node that was not removed, one that is leaving included.
	 * @param name the host
	 * @return the address for other routers
	 */
	public Optional<Endpoint> endpoint(HostName name) {
		return this.table.find(name.value()).filter((entry) -> !entry.dead()).map(MemberEntry::endpoint);
	}

	int tableSize() {
		return Math.max(this.table.size(), Math.max(this.pending.size(), this.dissemination.queued()));
	}

	/**
	 * Replaces the hosts that the platform's list shows.
	 * @param routers the routers of the list, this node possibly included
	 * @param nowNanos the present time, in nanoseconds
	 * @return what is to be done
	 */
	public List<MembershipAction> seed(List<RouterHost> routers, long nowNanos) {
		List<MembershipAction> actions = begin(nowNanos);
		this.rejoin.setSeeds(routers);
		if (this.table.living() == 0) {
			rejoin(actions, nowNanos);
		}
		return finish(actions, nowNanos);
	}

	/**
	 * Announces the configuration revision in force on this node.
	 * @param revision the revision
	 */
	public void revisionApplied(long revision) {
		this.heardRevision = Math.max(this.heardRevision, revision);
		this.dissemination.setRevision(revision);
	}

	/**
	 * Notes that this node heard from the store.
	 * @param contactNanos when it did, in nanoseconds
	 */
	public void storeContact(long contactNanos) {
		this.dissemination.storeContact(contactNanos);
	}

	/**
	 * Suspects a member whose connection was reset and cannot be opened again.
	 * @param lost the member
	 * @param nowNanos the present time, in nanoseconds
	 * @return what is to be done
	 */
	public List<MembershipAction> connectionLost(HostName lost, long nowNanos) {
		List<MembershipAction> actions = begin(nowNanos);
		this.table.find(lost.value()).ifPresent((entry) -> suspect(entry, actions, nowNanos));
		return finish(actions, nowNanos);
	}

	/**
	 * Announces that this node is leaving: it owns nothing any more but still answers.
	 * @param nowNanos the present time, in nanoseconds
	 * @return what is to be done
	 */
	public List<MembershipAction> leave(long nowNanos) {
		return announce(MemberStatus.LEAVING, nowNanos);
	}

	/**
	 * Announces that this process ends; nothing may be called afterwards.
	 * @param nowNanos the present time, in nanoseconds
	 * @return what is to be done
	 */
	public List<MembershipAction> stop(long nowNanos) {
		return announce(MemberStatus.DEAD, nowNanos);
	}

	private List<MembershipAction> announce(MemberStatus status, long nowNanos) {
		List<MembershipAction> actions = begin(nowNanos);
		this.dissemination.setSelf(this.dissemination.self().toBuilder().setStatus(status).build());
		this.table.markChanged();
		actions.addAll(this.dissemination.push(nowNanos));
		return finish(actions, nowNanos);
	}

	/**
	 * Sends the probes that are due and draws conclusions from missing answers.
	 * @param nowNanos the present time, in nanoseconds
	 * @return what is to be done
	 */
	public List<MembershipAction> tick(long nowNanos) {
		List<MembershipAction> actions = begin(nowNanos);
		this.pending.takeLate(this.settings.probeTimeoutMillis() * 1_000_000, nowNanos)
			.forEach((probe) -> this.order.sample(INDIRECT_PROBES, probe.host())
				.forEach((helper) -> actions.add(this.dissemination.send(helper.endpoint(), helper.host(),
						this.dissemination.header(Probe.Kind.PING_REQUEST, probe.sequence(), nowNanos)
							.setTargetHost(probe.host())))));
		long limitNanos = Math.max(this.settings.probeMillis(), 2 * this.settings.probeTimeoutMillis()) * 1_000_000;
		this.pending.takeFailed(limitNanos, nowNanos)
			.forEach((probe) -> this.table.find(probe.host()).ifPresent((entry) -> suspect(entry, actions, nowNanos)));
		long suspicionNanos = this.settings.suspicionMillis() * 1_000_000;
		this.table
			.select((entry) -> entry.status() == MemberStatus.SUSPECT && entry.ageNanos(nowNanos) >= suspicionNanos)
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
		return finish(actions, nowNanos);
	}

	private void probeRound(List<MembershipAction> actions, long nowNanos) {
		this.table.forgetDead(this.settings.tombstoneMillis() * 1_000_000, nowNanos);
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
	 * Takes over a received datagram.
	 * @param probe the message, authenticated
	 * @param from its sender's address
	 * @param nowNanos the present time, in nanoseconds
	 * @return what is to be done
	 */
	public List<MembershipAction> received(Probe probe, Endpoint from, long nowNanos) {
		List<MembershipAction> actions = begin(nowNanos);
		NodeId sender = probe.getFrom();
		if (!MemberEntry.validHost(sender.getHost()) || sender.getHost().equals(this.host)) {
			return finish(actions, nowNanos);
		}
		probe.getUpdatesList()
			.stream()
			.filter((update) -> update.getHost().equals(sender.getHost()))
			.forEach((update) -> accept(update, actions, nowNanos));
		learnIncarnation(sender, actions, nowNanos);
		// A removed sender is heard only about this node: its other statements may be as
		// old as its removal, or it may receive nothing and suspect everyone.
		boolean trusted = this.table.find(sender.getHost())
			.filter((entry) -> !entry.dead() && sender.getIncarnation() == entry.update().getIncarnation())
			.isPresent();
		probe.getUpdatesList()
			.stream()
			.filter((update) -> trusted
					|| (update.getHost().equals(this.host) && update.getStatus() == MemberStatus.DEAD))
			.forEach((update) -> accept(update, actions, nowNanos));
		if (trusted) {
			heard(probe, sender, actions, nowNanos);
		}
		answer(probe, from, actions, nowNanos);
		return finish(actions, nowNanos);
	}

	private void learnIncarnation(NodeId sender, List<MembershipAction> actions, long nowNanos) {
		this.table.find(sender.getHost())
			.filter((entry) -> Long.compareUnsigned(sender.getIncarnation(), entry.update().getIncarnation()) > 0)
			.ifPresent((entry) -> accept(entry.update()
				.toBuilder()
				.setIncarnation(sender.getIncarnation())
				.setStatus(MemberStatus.ALIVE)
				.build(), actions, nowNanos));
	}

	private void heard(Probe probe, NodeId sender, List<MembershipAction> actions, long nowNanos) {
		this.peerContactNanos = nowNanos;
		if (probe.getStoreAgeMillis() != Dissemination.UNKNOWN_AGE) {
			this.dissemination.storeContact(nowNanos - (probe.getStoreAgeMillis() & 0xFFFFFFFFL) * 1_000_000);
		}
		if (probe.getConfigurationRevision() > this.heardRevision) {
			this.heardRevision = probe.getConfigurationRevision();
			actions.add(new MembershipAction.RevisionHeard(HostName.of(sender.getHost()), this.heardRevision));
		}
		if (probe.getMemberDigest() != this.dissemination.digest()
				&& this.synchronization.take(this.table.quietNanos(nowNanos), nowNanos)) {
			this.table.find(sender.getHost())
				.ifPresent((entry) -> actions
					.add(new MembershipAction.Synchronize(HostName.of(entry.host()), entry.endpoint())));
		}
	}

	private void answer(Probe probe, Endpoint from, List<MembershipAction> actions, long nowNanos) {
		switch (probe.getKind()) {
			case PING, JOIN -> actions.add(this.dissemination.send(from, probe.getFrom().getHost(),
					this.dissemination.header(Probe.Kind.ACK, probe.getSequence(), nowNanos)));
			case ACK -> acknowledged(probe.getSequence(), actions, nowNanos);
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

	private void acknowledged(long sequence, List<MembershipAction> actions, long nowNanos) {
		this.confirmed |= sequence >= this.confirmingSequence;
		this.pending.answered(sequence);
		this.pending.takeRelay(sequence)
			.ifPresent((relay) -> actions.add(new MembershipAction.Send(relay.requester(),
					this.dissemination.header(Probe.Kind.ACK, relay.sequence(), nowNanos).build())));
	}

	/**
	 * Takes over the member table of a peer.
	 * @param members statements of the peer about all nodes
	 * @param nowNanos the present time, in nanoseconds
	 * @return what is to be done
	 */
	public List<MembershipAction> synchronize(List<MemberUpdate> members, long nowNanos) {
		List<MembershipAction> actions = begin(nowNanos);
		this.synchronization.finished();
		members.forEach((update) -> accept(update, actions, nowNanos));
		return finish(actions, nowNanos);
	}

	private void accept(MemberUpdate update, List<MembershipAction> actions, long nowNanos) {
		if (!MemberEntry.valid(update)) {
			return;
		}
		if (update.getHost().equals(this.host)) {
			acceptAboutSelf(update, actions);
			return;
		}
		MemberEntry entry = this.table.find(update.getHost()).orElse(null);
		if (entry == null) {
			change(MemberStatus.DEAD, update, actions, nowNanos);
		}
		else if (MemberEntry.wins(update, entry.update())) {
			// A removal that was not preceded by suspicion here gets one: after a
			// partition, statements of the other side must not remove living members.
			boolean early = update.getStatus() == MemberStatus.DEAD && entry.status() == MemberStatus.ALIVE;
			change(entry.status(), early ? update.toBuilder().setStatus(MemberStatus.SUSPECT).build() : update, actions,
					nowNanos);
		}
	}

	private void acceptAboutSelf(MemberUpdate update, List<MembershipAction> actions) {
		MemberUpdate self = this.dissemination.self();
		int order = Long.compareUnsigned(update.getIncarnation(), self.getIncarnation());
		if (order < 0 || (order == 0 && !MemberEntry.wins(update, self))) {
			return;
		}
		MemberUpdate next = self.toBuilder().setIncarnation(update.getIncarnation() + 1).build();
		this.dissemination.setSelf(next);
		this.table.markChanged();
		if (update.getStatus() == MemberStatus.DEAD) {
			// Comes first, so that the caller hears of it before anything is sent.
			actions.add(0, new MembershipAction.RemovalRefuted(self.getIncarnation(), next.getIncarnation()));
		}
	}

	private void suspect(MemberEntry entry, List<MembershipAction> actions, long nowNanos) {
		if (entry.status() == MemberStatus.ALIVE) {
			change(entry, MemberStatus.SUSPECT, actions, nowNanos);
		}
		else if (entry.status() == MemberStatus.LEAVING) {
			change(entry, MemberStatus.DEAD, actions, nowNanos);
		}
	}

	private void change(MemberEntry entry, MemberStatus next, List<MembershipAction> actions, long nowNanos) {
		change(entry.status(), entry.update().toBuilder().setStatus(next).build(), actions, nowNanos);
	}

	private void change(MemberStatus before, MemberUpdate next, List<MembershipAction> actions, long nowNanos) {
		if (!this.table.put(next, nowNanos)) {
			return;
		}
		this.dissemination.pass(next);
		Member member = MemberEntry.memberOf(next);
		boolean wasEligible = before == MemberStatus.ALIVE || before == MemberStatus.SUSPECT;
		boolean eligible = next.getStatus() == MemberStatus.ALIVE || next.getStatus() == MemberStatus.SUSPECT;
		if (eligible && !wasEligible) {
			actions.add(new MembershipAction.Joined(member));
		}
		if (next.getStatus() == MemberStatus.SUSPECT && before != MemberStatus.SUSPECT) {
			actions.add(new MembershipAction.Suspected(member));
			// Tells the member itself, which may refute without delay.
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

	// Notices a pause of this process. Answers that came during the pause were not read,
	// so nothing follows from their absence.
	private List<MembershipAction> begin(long nowNanos) {
		List<MembershipAction> actions = new ArrayList<>();
		long gapNanos = nowNanos - this.lastNanos;
		this.lastNanos = nowNanos;
		if (gapNanos > this.probeNanos) {
			this.pending.clear();
			this.table.entries().forEach((entry) -> entry.postpone(gapNanos));
			this.confirmed = false;
			this.confirmingSequence = this.dissemination.sequence() + 1;
			actions.add(new MembershipAction.Paused(gapNanos / 1_000_000));
			this.resumed = true;
		}
		return actions;
	}

	private List<MembershipAction> finish(List<MembershipAction> actions, long nowNanos) {
		if (this.table.takeChanged()) {
			this.synchronization.tableChanged();
			MemberView next = createView();
			if (!next.equals(this.view)) {
				this.view = next;
				actions.add(new MembershipAction.ViewChanged(next));
			}
		}
		return List.copyOf(actions);
	}

	private MemberView createView() {
		MemberUpdate update = this.dissemination.self();
		Member self = MemberEntry.memberOf(update);
		Stream<Member> others = this.table.entries().stream().filter(MemberEntry::eligible).map(MemberEntry::member);
		return new MemberView(self,
				((update.getStatus() == MemberStatus.ALIVE) ? Stream.concat(Stream.of(self), others) : others)
					.toList());
	}

}
