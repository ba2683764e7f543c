package io.balsamlane.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;

/**
 * The routers that one router considers alive, including itself unless it is leaving.
 *
 * @param self this router
 * @param members all members that are eligible to own keys, ordered by host name
 */
public record MemberView(Member self, List<Member> members) {

	public MemberView {
		Objects.requireNonNull(self, "self");
		members = members.stream().sorted(Comparator.comparing(Member::host)).toList();
	}

	/**
	 * Find the owner of a key by rendezvous hashing. When a member joins or leaves, only
	 * the keys that it gains or loses change their owner.
	 * @param key the key
	 * @return the owner, empty if there is no member
	 */
	public Optional<Member> owner(String key) {
		return owner(key, (member) -> true);
	}

	/**
	 * Find the owner of a key among the members of a place, or among all members if the
	 * place has none.
	 * @param key the key
	 * @param place the preferred place
	 * @return the owner, empty if there is no member
	 */
	public Optional<Member> owner(String key, Place place) {
		return owner(key, (member) -> member.place().equals(place)).or(() -> owner(key));
	}

	/**
	 * Find the owner of a key among the eligible members.
	 * @param key the key
	 * @param eligible selects the members that may own the key
	 * @return the owner, empty if no member is eligible
	 */
	public Optional<Member> owner(String key, Predicate<Member> eligible) {
		// Members are sorted by host: of members with equal scores, the last one wins.
		Member best = null;
		long bestScore = 0;
		for (Member member : this.members) {
			if (eligible.test(member)) {
				long score = RendezvousHash.score(member.host().value(), key);
				if (best == null || score >= bestScore) {
					best = member;
					bestScore = score;
				}
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Return whether this router owns a key.
	 * @param key the key
	 * @return true if this router owns the key
	 */
	public boolean owns(String key) {
		return owner(key).map((member) -> member.host().equals(this.self.host())).orElse(false);
	}

	/**
	 * Find a member by its host.
	 * @param host the host
	 * @return the member, empty if the host is not in this view
	 */
	public Optional<Member> find(HostName host) {
		return this.members.stream().filter((member) -> member.host().equals(host)).findFirst();
	}

}
