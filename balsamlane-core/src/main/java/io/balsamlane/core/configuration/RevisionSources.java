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
 * Holds the peers that announced a higher revision than the applied one and chooses the
 * peer to pull from.
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

	void removeUpTo(long appliedRevision) {
		this.revisions.values().removeIf((revision) -> revision <= appliedRevision);
	}

	void retainMembers(MemberView view) {
		this.revisions.keySet().removeIf((host) -> view.find(host).isEmpty());
	}

	/**
	 * Prefer other peers to one that did not respond.
	 * @param peer the peer to avoid
	 */
	void avoid(HostName peer) {
		this.avoided = peer;
	}

	long highestRevision() {
		return this.revisions.values().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	/**
	 * Choose a peer with a newer revision. If there is none, or only the avoided one, any
	 * member may be chosen.
	 * @param members the current members
	 * @param random the random source
	 * @return the peer; empty if there is no other member
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
