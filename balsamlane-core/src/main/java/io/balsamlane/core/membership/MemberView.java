package io.balsamlane.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;

/**
 * The routers that one router believes to be alive, itself included unless it is leaving.
 *
 * @param self this router
 * @param members all members that may own something, ordered by host name
 */
public record MemberView(Member self, List<Member> members) {

	public MemberView {
		Objects.requireNonNull(self, "self");
		members = members.stream().sorted(Comparator.comparing(Member::host)).toList();
	}

	/**
	 * Finds the owner of a key by rendezvous hashing. A member that joins or leaves moves
	 * only the keys that it gains or held.
	 * @param key the key
	 * @return the owner, empty if there is no member
	 */
	public Optional<Member> owner(String key) {
		return owner(key, (member) -> true);
	}

	/**
	 * Finds the owner of a key among the members of a place, or among all if the place
	 * has none.
	 * @param key the key
	 * @param place the preferred place
	 * @return the owner, empty if there is no member
	 */
	public Optional<Member> owner(String key, Place place) {
		return owner(key, (member) -> member.place().equals(place)).or(() -> owner(key));
	}

	/**
	 * Finds the owner of a key among some of the members.
	 * @param key the key
	 * @param eligible tells which members may own it
	 * @return the owner, empty if no member is eligible
	 */
	public Optional<Member> owner(String key, Predicate<Member> eligible) {
		return this.members.stream()
			.filter(eligible)
			.max(Comparator.comparingLong((Member member) -> RendezvousHash.score(member.host().value(), key))
				.thenComparing(Member::host));
	}

	/**
	 * Tells whether this router owns a key.
	 * @param key the key
	 * @return true if it does
	 */
	public boolean owns(String key) {
		return owner(key).map((member) -> member.host().equals(this.self.host())).orElse(false);
	}

	/**
	 * Finds a member by its host.
	 * @param host the host
	 * @return the member, empty if it is not alive
	 */
	public Optional<Member> find(HostName host) {
		return this.members.stream().filter((member) -> member.host().equals(host)).findFirst();
	}

}
