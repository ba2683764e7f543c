package io.balsamlane.core.membership;

import java.util.List;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.Probe;

/**
 * Writes probes: who this node is, what it knows of the store, and the statements that
 * are to be passed on.
 */
final class Dissemination {

	/** Store age of a node that never heard of a contact with the store. */
	static final int UNKNOWN_AGE = -1;

	/**
	 * Members that receive a new statement at once. With four, all but about 2% of a
	 * large fleet hear of it before the next probe round.
	 */
	private static final int PUSH_RECEIVERS = 4;

	private static final int RETRANSMIT_FACTOR = 3;

	private final MembershipSettings settings;

	private final MemberTable table;

	private final ProbeOrder order;

	private final UpdateQueue queue;

	private MemberUpdate self;

	private long sequence;

	private long revision;

	private boolean revisionFresh;

	private boolean storeHeard;

	private long storeContactNanos;

	Dissemination(MembershipSettings settings, MemberTable table, ProbeOrder order, MemberUpdate self) {
		this.settings = settings;
		this.table = table;
		this.order = order;
		this.queue = new UpdateQueue(settings.maxMembers() + 1);
		setSelf(self);
	}

	MemberUpdate self() {
		return this.self;
	}

	void setSelf(MemberUpdate next) {
		this.self = next;
		this.queue.add(next);
	}

	void pass(MemberUpdate update) {
		this.queue.add(update);
	}

	int queued() {
		return this.queue.size();
	}

	long digest() {
		return this.table.digest() ^ new MemberEntry(this.self, 0).digest();
	}

	long nextSequence() {
		return ++this.sequence;
	}

	long sequence() {
		return this.sequence;
	}

	void setRevision(long next) {
		this.revisionFresh |= next > this.revision;
		this.revision = Math.max(this.revision, next);
	}

	void storeContact(long contactNanos) {
		if (!this.storeHeard || contactNanos - this.storeContactNanos > 0) {
			this.storeHeard = true;
			this.storeContactNanos = contactNanos;
		}
	}

	long storeAgeMillis(long nowNanos) {
		return this.storeHeard ? Math.max(0, (nowNanos - this.storeContactNanos) / 1_000_000) : Long.MAX_VALUE;
	}

	Probe.Builder header(Probe.Kind kind, long probeSequence, long nowNanos) {
		int age = this.storeHeard ? (int) Math.min(Integer.MAX_VALUE, storeAgeMillis(nowNanos)) : UNKNOWN_AGE;
		return Probe.newBuilder()
			.setKind(kind)
			.setSequence(probeSequence)
			.setFrom(NodeId.newBuilder().setHost(this.self.getHost()).setIncarnation(this.self.getIncarnation()))
			.setConfigurationRevision(this.revision)
			.setStoreAgeMillis(age)
			.setMemberDigest(digest());
	}

	// Completes a probe. What this node believes about the receiver goes first, so that a
	// suspected or removed node learns of it as soon as anyone talks to it.
	MembershipAction.Send send(Endpoint to, String receiver, Probe.Builder probe) {
		MemberEntry known = this.table.find(receiver).orElse(null);
		if (known == null || known.dead() || probe.getKind() == Probe.Kind.JOIN) {
			probe.addUpdates(this.self);
		}
		if (known != null && known.status() != MemberStatus.ALIVE) {
			probe.addUpdates(known.update());
		}
		return new MembershipAction.Send(to, probe.addAllUpdates(takeUpdates(probe, 1)).build());
	}

	private List<MemberUpdate> takeUpdates(Probe.Builder probe, int receivers) {
		int maxSent = PUSH_RECEIVERS
				+ RETRANSMIT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(this.table.living() + 1));
		return this.queue.take(UpdateQueue.leftBytes(probe, this.settings.datagramBytes()), receivers, maxSent);
	}

	// Sends statements and a revision that nobody has received from this node yet to some
	// members at once, rather than with the next probes.
	List<MembershipAction.Send> push(long nowNanos) {
		if (!this.revisionFresh && !this.queue.hasFresh()) {
			return List.of();
		}
		return pushTo(this.order.sample(PUSH_RECEIVERS, ""), nowNanos);
	}

	private List<MembershipAction.Send> pushTo(List<MemberEntry> receivers, long nowNanos) {
		if (receivers.isEmpty()) {
			return List.of();
		}
		this.revisionFresh = false;
		Probe.Builder probe = header(Probe.Kind.UPDATE, 0, nowNanos);
		Probe update = probe.addAllUpdates(takeUpdates(probe, receivers.size())).build();
		return receivers.stream().map((entry) -> new MembershipAction.Send(entry.endpoint(), update)).toList();
	}

}
