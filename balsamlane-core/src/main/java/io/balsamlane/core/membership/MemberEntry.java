package io.balsamlane.core.membership;

import java.util.Map;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;

/**
 * State of one other node. Of two updates, the one with the higher incarnation overrides
 * the other, and with equal incarnations the one with the status of higher precedence, so
 * that all member tables converge regardless of the order in which updates arrive.
 */
final class MemberEntry {

	private static final Map<MemberStatus, Integer> STATUS_PRECEDENCE = Map.of(MemberStatus.ALIVE, 1,
			MemberStatus.SUSPECT, 2, MemberStatus.LEAVING, 3, MemberStatus.DEAD, 4);

	private MemberUpdate update;

	private Member member;

	private final long ringPosition;

	private long changedNanos;

	MemberEntry(MemberUpdate update, long nowNanos) {
		this.ringPosition = RendezvousHash.score(update.getHost(), "ring");
		set(update, nowNanos);
	}

	static boolean overrides(MemberUpdate next, MemberUpdate present) {
		int order = Long.compareUnsigned(next.getIncarnation(), present.getIncarnation());
		return order > 0 || (order == 0
				&& STATUS_PRECEDENCE.getOrDefault(next.getStatus(), 0) > STATUS_PRECEDENCE.get(present.getStatus()));
	}

	// Return whether an update is well-formed and can be stored in the table.
	static boolean valid(MemberUpdate update) {
		String address = update.getAddress();
		return STATUS_PRECEDENCE.containsKey(update.getStatus()) && validHost(update.getHost())
				&& !update.getPlace().isBlank() && update.getPlace().length() <= 128 && address.length() >= 2
				&& address.length() <= 45
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

	void excludePause(long pauseNanos) {
		this.changedNanos += pauseNanos;
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

	// Return whether the member is eligible to own keys.
	boolean eligible() {
		return status() == MemberStatus.ALIVE || status() == MemberStatus.SUSPECT;
	}

	long ringPosition() {
		return this.ringPosition;
	}

	long nanosSinceChange(long nowNanos) {
		return nowNanos - this.changedNanos;
	}

	// Return the contribution of this member to the table digest. A suspected member
	// contributes the same value as an alive one, because suspicion is temporary.
	long digest() {
		return dead() ? 0 : RendezvousHash.score(host(),
				this.update.getIncarnation() + ((status() == MemberStatus.LEAVING) ? "L" : "A"));
	}

}
