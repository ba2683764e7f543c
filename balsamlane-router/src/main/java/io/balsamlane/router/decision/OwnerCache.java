package io.balsamlane.router.decision;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.scheduling.DomainId;
import io.balsamlane.router.peer.PeerNetwork;

/**
 * Caches the owners of scheduling domains for the current members, so that the hash over
 * all members is not computed for each request. Thread-safe.
 */
final class OwnerCache {

	private final PeerNetwork network;

	private volatile Owners current;

	OwnerCache(PeerNetwork network) {
		this.network = network;
		this.current = new Owners(network.members(), new ConcurrentHashMap<>());
	}

	Optional<HostName> owner(DomainId domain) {
		MemberView members = this.network.members();
		Owners owners = this.current;
		if (owners.members() != members) {
			owners = new Owners(members, new ConcurrentHashMap<>());
			this.current = owners;
		}
		return owners.byDomain()
			.computeIfAbsent(domain, (key) -> members.owner(key.ownerKey(), key.place()).map(Member::host));
	}

	boolean owns(DomainId domain) {
		HostName self = this.network.members().self().host();
		return owner(domain).filter(self::equals).isPresent();
	}

	private record Owners(MemberView members, Map<DomainId, Optional<HostName>> byDomain) {
	}

}
