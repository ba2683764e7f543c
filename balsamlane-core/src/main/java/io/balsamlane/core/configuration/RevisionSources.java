package io.balsamlane.core.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Peers that announced a higher revision than the applied one, and the choice of the peer
 * to pull from.
 */
final class RevisionSources {

	private final Map<HostName, Long> revisions = new LinkedHashMap<>();

	private final int maxSources;

	private HostName avoided;

	RevisionSources(int maxSources) {
		this.maxSources = maxSources;
	}

	void add(HostName peer, long revision) {
		this.revisions.remove(peer);
		if (this.revisions.size() >= this.maxSources) {
			this.revisions.remove(this.revisions.keySet().iterator().next());
		}
		this.revisions.put(peer, revision);
	}

	void remove(HostName peer) {
		this.revisions.remove(peer);
	}

	void applied(long appliedRevision) {
		this.revisions.values().removeIf((revision) -> revision <= appliedRevision);
	}

	void keepMembers(MemberView view) {
		this.revisions.keySet().removeIf((host) -> view.find(host).isEmpty());
	}

	/**
	 * Prefers other peers than one that did not answer.
	 * @param peer the peer
	 */
	void avoid(HostName peer) {
		this.avoided = peer;
	}

	long highest() {
		return this.revisions.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	/**
	 * Chooses a peer with a newer revision, or any member if there is none but an avoided
	 * one.
	 * @param members the members
	 * @param random source of the choice
	 * @return the peer, empty if there is no other member
	 */
	Optional<HostName> choose(MemberView members, UniformRandomProvider random) {
		List<HostName> candidates = new ArrayList<>(this.revisions.keySet());
		if (candidates.isEmpty() || (candidates.size() == 1 && candidates.contains(this.avoided))) {
			candidates.addAll(members.members()
				.stream()
				.map(Member::host)
				.filter((host) -> !host.equals(members.self().host()) && !candidates.contains(host))
				.toList());
		}
		if (candidates.size() > 1) {
			candidates.remove(this.avoided);
		}
		return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
	}

}
