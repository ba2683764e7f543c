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
 * Compares how many live engines and service replicas each selector reaches under two
 * configurations.
 */
final class ReachabilityComparison {

	private static final TargetCount NO_TARGETS = new TargetCount(0, 0);

	private final HostList hosts;

	private ReachabilityComparison(HostList hosts) {
		this.hosts = hosts;
	}

	static ReachabilityComparison of(HostList hosts) {
		return new ReachabilityComparison(hosts);
	}

	/**
	 * Compare two configurations.
	 * @param before the current configuration
	 * @param after the configuration with a change applied
	 * @return an object for each selector in either configuration, with its name and the
	 * number of engines and replicas that it reaches in both
	 */
	JsonArray compare(Configuration before, Configuration after) {
		Map<String, TargetCount> countsBefore = counts(before);
		Map<String, TargetCount> countsAfter = counts(after);
		JsonArray selectors = new JsonArray();
		Stream.concat(countsBefore.keySet().stream(), countsAfter.keySet().stream())
			.distinct()
			.sorted()
			.forEach((name) -> {
				JsonObject selector = new JsonObject().put("name", name)
					.put("before", countsBefore.getOrDefault(name, NO_TARGETS).toJson())
					.put("after", countsAfter.getOrDefault(name, NO_TARGETS).toJson())
					.put("deleted", !countsAfter.containsKey(name));
				selectors.add(selector);
			});
		return selectors;
	}

	private Map<String, TargetCount> counts(Configuration configuration) {
		Map<String, TargetCount> counts = new TreeMap<>();
		ReachabilityReport.of(configuration, this.hosts)
			.selectors()
			.forEach((reach) -> counts.put(reach.selector(),
					new TargetCount(reach.prefillEngines() + reach.decodeEngines(), reach.replicas())));
		return counts;
	}

	private record TargetCount(int engines, int replicas) {

		JsonObject toJson() {
			return new JsonObject().put("engines", this.engines).put("replicas", this.replicas);
		}

	}

}
