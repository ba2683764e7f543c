package io.balsamlane.core.membership;

import java.util.Map;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;

/**
 * State of one other node. Of two statements the one with the higher incarnation wins,
 * and among equal incarnations the worse status, so that all tables converge whatever the
 * order in which statements arrive.
 */
final class MemberEntry {

	private static final Map<MemberStatus, Integer> RANKS = Map.of(MemberStatus.ALIVE, 1, MemberStatus.SUSPECT, 2,
			MemberStatus.LEAVING, 3, MemberStatus.DEAD, 4);

	private MemberUpdate update;

	private Member member;

	private final long ringPosition;

	private long changedNanos;

	MemberEntry(MemberUpdate update, long nowNanos) {
		this.ringPosition = RendezvousHash.score(update.getHost(), "ring");
		set(update, nowNanos);
	}

	static boolean wins(MemberUpdate next, MemberUpdate present) {
		int order = Long.compareUnsigned(next.getIncarnation(), present.getIncarnation());
		return order > 0 || (order == 0 && RANKS.getOrDefault(next.getStatus(), 0) > RANKS.get(present.getStatus()));
	}

	// Tells whether a statement can enter the table.
	static boolean valid(MemberUpdate update) {
		String address = update.getAddress();
		return RANKS.containsKey(update.getStatus()) && validHost(update.getHost()) && !update.getPlace().isBlank()
				&& update.getPlace().length() <= 128 && address.length() >= 2 && address.length() <= 45
				&& address.chars().allMatch((c) -> Character.digit(c, 16) >= 0 || c == '.' || c == ':')
				&& update.getPeerPort() >= 1 && update.getPeerPort() <= 65535;
	}

	static boolean validHost(String host) {
		return !host.isBlank() && host.length() <= 128;
	}

	static Member memberOf(MemberUpdate update) {
		return new Member(HostName.of(update.getHost()), update.getIncarnation(), Place.of(update.getPlace()),
				Endpoint.of(update.getAddress(), update.getPeerPort()));
	}

	void set(MemberUpdate next, long nowNanos) {
		this.update = next;
		this.member = memberOf(next);
		this.changedNanos = nowNanos;
	}

	void postpone(long gapNanos) {
		this.changedNanos += gapNanos;
	}

	MemberUpdate update() {
		return this.update;
	}

	Member member() {
		return this.member;
	}

	String host() {
		return this.update.getHost();
	}

	Endpoint endpoint() {
		return this.member.peer();
	}

	MemberStatus status() {
		return this.update.getStatus();
	}

	boolean dead() {
		return status() == MemberStatus.DEAD;
	}

	// Tells whether the member may own something.
	boolean eligible() {
		return status() == MemberStatus.ALIVE || status() == MemberStatus.SUSPECT;
	}

	long ringPosition() {
		return this.ringPosition;
	}

	long ageNanos(long nowNanos) {
		return nowNanos - this.changedNanos;
	}

	// Share of this member in the digest. A suspected member counts as an alive one,
	// because suspicion is passing.
	long digest() {
		return dead() ? 0 : RendezvousHash.score(host(),
				this.update.getIncarnation() + ((status() == MemberStatus.LEAVING) ? "L" : "A"));
	}

}
