package io.balsamlane.router.admin;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.balsamlane.core.model.HostList;
import io.balsamlane.core.routing.ReachabilityReport;
import io.balsamlane.schema.Configuration;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Compares the live engines and service replicas that each selector reaches under two
 * configurations.
 */
final class ReachComparison {

	private static final Count NONE = new Count(0, 0);

	private final HostList hosts;

	private ReachComparison(HostList hosts) {
		this.hosts = hosts;
	}

	static ReachComparison of(HostList hosts) {
		return new ReachComparison(hosts);
	}

	/**
	 * Compares two configurations.
	 * @param before the configuration in force
	 * @param after the configuration with a change
	 * @return for each selector of either its name and its reach in both
	 */
	JsonArray compare(Configuration before, Configuration after) {
		Map<String, Count> first = counts(before);
		Map<String, Count> second = counts(after);
		JsonArray selectors = new JsonArray();
		Stream.concat(first.keySet().stream(), second.keySet().stream()).distinct().sorted().forEach((name) -> {
			JsonObject selector = new JsonObject().put("name", name)
				.put("before", first.getOrDefault(name, NONE).toJson())
				.put("after", second.getOrDefault(name, NONE).toJson())
				.put("deleted", !second.containsKey(name));
			selectors.add(selector);
		});
		return selectors;
	}

	private Map<String, Count> counts(Configuration configuration) {
		Map<String, Count> counts = new TreeMap<>();
		ReachabilityReport.of(configuration, this.hosts)
			.selectors()
			.forEach((reach) -> counts.put(reach.selector(),
					new Count(reach.prefillEngines() + reach.decodeEngines(), reach.replicas())));
		return counts;
	}

	private record Count(int engines, int replicas) {

		JsonObject toJson() {
			return new JsonObject().put("engines", this.engines).put("replicas", this.replicas);
		}

	}

}
