package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.BackendServer.Kind;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;

/**
 * Index of live backend servers by pool and service, nearest place first. Selectors that
 * reach the same servers share one list.
 */
final class ServerIndex {

	private final Place place;

	private final String region;

	private final Map<GroupKey, List<BackendServer>> serversByGroup = new HashMap<>();

	private final Map<ReachabilityKey, List<BackendServer>> reachableServers = new HashMap<>();

	ServerIndex(HostList hosts, Place place, String region) {
		this.place = place;
		this.region = region;
		for (BackendServer server : hosts.servers()) {
			if (!server.leaving()) {
				this.serversByGroup
					.computeIfAbsent(new GroupKey(server.kind(), server.group()), (key) -> new ArrayList<>())
					.add(server);
			}
		}
	}

	List<BackendServer> reachable(Kind kind, List<String> names, CompiledSelector selector) {
		ReachabilityKey key = new ReachabilityKey(kind, names, selector.selector().getPlacesList(),
				selector.selector().getCrossRegion());
		return this.reachableServers.computeIfAbsent(key,
				(missingKey) -> names.stream()
					.flatMap((name) -> this.serversByGroup.getOrDefault(new GroupKey(kind, name), List.of()).stream())
					.filter((server) -> selector.allowsPlace(server.place()))
					.filter((server) -> selector.allowsRegion(server.region(), this.region))
					.sorted(Comparator.comparing((BackendServer server) -> !server.place().equals(this.place))
						.thenComparing((server) -> !server.region().equals(this.region)))
					.toList());
	}

	private record GroupKey(Kind kind, String name) {
	}

	private record ReachabilityKey(Kind kind, List<String> names, List<String> places, boolean crossRegion) {
	}

}
