package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.Probe;

/**
 * Builds the probes that this node sends and disseminates member updates in them. Each
 * probe also carries the node's identity, its configuration revision and the time since
 * the last contact with the store.
 */
final class Dissemination {

	/** Store age sent by a node that knows of no contact with the store. */
	static final int UNKNOWN_AGE = -1;

	/**
	 * Members to which a new update is sent at once. With four, all but about 2% of the
	 * members of a large cluster receive it before the next probe round.
	 */
	private static final int PUSH_FANOUT = 4;

	/**
	 * Maximum rounds of datagrams with unsent updates per tick. One is not enough after a
	 * partition, which leaves updates about half of the members to be sent.
	 */
	private static final int MAX_PUSHES_PER_TICK = 4;

	private final MembershipSettings settings;

	private final MemberTable table;

	private final ProbeOrder order;

	private final UpdateQueue queue;

	private MemberUpdate self;

	private long sequence;

	private long revision;

	private boolean revisionUnsent;

	private boolean storeContactKnown;

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

	void enqueue(MemberUpdate update) {
		this.queue.add(update);
	}

	int queueSize() {
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

	void advanceRevision(long next) {
		this.revisionUnsent |= next > this.revision;
		this.revision = Math.max(this.revision, next);
	}

	void recordStoreContact(long contactNanos) {
		if (!this.storeContactKnown || contactNanos - this.storeContactNanos > 0) {
			this.storeContactKnown = true;
			this.storeContactNanos = contactNanos;
		}
	}

	long storeAgeMillis(long nowNanos) {
		return this.storeContactKnown ? Math.max(0, (nowNanos - this.storeContactNanos) / 1_000_000) : Long.MAX_VALUE;
	}

	Probe.Builder header(Probe.Kind kind, long probeSequence, long nowNanos) {
		int age = this.storeContactKnown ? (int) Math.min(Integer.MAX_VALUE, storeAgeMillis(nowNanos)) : UNKNOWN_AGE;
		return Probe.newBuilder()
			.setKind(kind)
			.setSequence(probeSequence)
			.setFrom(NodeId.newBuilder().setHost(this.self.getHost()).setIncarnation(this.self.getIncarnation()))
			.setConfigurationRevision(this.revision)
			.setStoreAgeMillis(age)
			.setMemberDigest(digest());
	}

	// Complete a probe. The update about its receiver comes first, so that a suspected or
	// removed node learns of its status from the first probe that it receives.
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
		int maxSends = PUSH_FANOUT + Integer.SIZE - Integer.numberOfLeadingZeros(this.table.liveCount() + 1);
		return this.queue.take(UpdateQueue.remainingBytes(probe, this.settings.datagramBytes()), receivers, maxSends);
	}

	// Send updates and a configuration revision that this node has not sent yet to
	// randomly chosen members at once, instead of waiting for the next probe round.
	List<MembershipAction.Send> push(long nowNanos) {
		List<MembershipAction.Send> sends = new ArrayList<>();
		for (int i = 0; i < MAX_PUSHES_PER_TICK && (this.revisionUnsent || this.queue.hasUnsent()); i++) {
			sends.addAll(pushTo(this.order.sample(PUSH_FANOUT, ""), nowNanos));
		}
		return sends;
	}

	private List<MembershipAction.Send> pushTo(List<MemberEntry> receivers, long nowNanos) {
		if (receivers.isEmpty()) {
			return List.of();
		}
		this.revisionUnsent = false;
		Probe.Builder probe = header(Probe.Kind.UPDATE, 0, nowNanos);
		Probe update = probe.addAllUpdates(takeUpdates(probe, receivers.size())).build();
		return receivers.stream().map((entry) -> new MembershipAction.Send(entry.endpoint(), update)).toList();
	}

}
