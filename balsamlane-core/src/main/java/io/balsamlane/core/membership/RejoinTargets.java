package io.balsamlane.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.RouterHost;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects hosts that are expected to be members but are not: seeds from the host list and
 * removed members. Join probes to them let a node join and merge a cluster again after a
 * partition.
 */
final class RejoinTargets {

	/** Expected join probes to one missing host per round, over all members together. */
	private static final int ATTEMPTS_PER_ROUND = 4;

	private static final int INITIAL_SEEDS = 3;

	private final MemberTable table;

	private final UniformRandomProvider random;

	private final String self;

	private final int maxSeeds;

	private Map<String, Endpoint> seeds = Map.of();

	RejoinTargets(MemberTable table, UniformRandomProvider random, String self, int maxSeeds) {
		this.table = table;
		this.random = random;
		this.self = self;
		this.maxSeeds = maxSeeds;
	}

	void setSeeds(List<RouterHost> routers) {
		Map<String, Endpoint> next = new LinkedHashMap<>();
		routers.stream()
			.filter((router) -> !router.leaving() && !router.name().value().equals(this.self))
			.limit(this.maxSeeds)
			.forEach((router) -> next.put(router.name().value(), router.peer()));
		this.seeds = next;
	}

	// Select the hosts to probe in this round. The probability of an attempt decreases
	// with the number of members, so that they do not all probe a single dead host.
	Map<String, Endpoint> select() {
		Map<String, Endpoint> missing = new LinkedHashMap<>();
		this.table.select(MemberEntry::dead).forEach((entry) -> missing.put(entry.host(), entry.endpoint()));
		// Compare addresses as well: if the host list holds only addresses, a seed is
		// named by its address.
		Set<Endpoint> present = this.table.select((entry) -> !entry.dead())
			.stream()
			.map(MemberEntry::endpoint)
			.collect(Collectors.toSet());
		this.seeds.forEach((name, endpoint) -> {
			if (this.table.find(name).map(MemberEntry::dead).orElse(true) && !present.contains(endpoint)) {
				missing.put(name, endpoint);
			}
		});
		int attempts = (this.table.liveCount() == 0) ? INITIAL_SEEDS : 1;
		double probability = (double) ATTEMPTS_PER_ROUND * missing.size() / (this.table.liveCount() + 1);
		List<String> names = new ArrayList<>(missing.keySet());
		Map<String, Endpoint> selected = new LinkedHashMap<>();
		for (int i = 0; i < attempts && !names.isEmpty() && this.random.nextDouble() < probability; i++) {
			String name = names.remove(this.random.nextInt(names.size()));
			selected.put(name, missing.get(name));
		}
		return selected;
	}

}
