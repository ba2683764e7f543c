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
 * Selects hosts that should be members and are not: those of the host list and removed
 * ones. Probing them is how a node joins and how a partition heals.
 */
final class RejoinTargets {

	/** Attempts per round, over the whole fleet, to reach one removed host. */
	private static final int ATTEMPTS = 4;

	private static final int FIRST_SEEDS = 3;

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

	// The chance of an attempt depends on the number of members, so that a single dead
	// host is not flooded by the whole fleet.
	Map<String, Endpoint> select() {
		Map<String, Endpoint> missing = new LinkedHashMap<>();
		this.table.select(MemberEntry::dead).forEach((entry) -> missing.put(entry.host(), entry.endpoint()));
		// A list that gives only addresses names a seed by its address.
		Set<Endpoint> present = this.table.select((entry) -> !entry.dead())
			.stream()
			.map(MemberEntry::endpoint)
			.collect(Collectors.toSet());
		this.seeds.forEach((name, endpoint) -> {
			if (this.table.find(name).map(MemberEntry::dead).orElse(true) && !present.contains(endpoint)) {
				missing.put(name, endpoint);
			}
		});
		int attempts = (this.table.living() == 0) ? FIRST_SEEDS : 1;
		double chance = (double) ATTEMPTS * missing.size() / (this.table.living() + 1);
		List<String> names = new ArrayList<>(missing.keySet());
		Map<String, Endpoint> selected = new LinkedHashMap<>();
		for (int i = 0; i < attempts && !names.isEmpty() && this.random.nextDouble() < chance; i++) {
			String name = names.remove(this.random.nextInt(names.size()));
			selected.put(name, missing.get(name));
		}
		return selected;
	}

}
