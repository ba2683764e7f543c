package io.balsamlane.router.admin;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.balsamlane.core.configuration.LabelExpression;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.HostList;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.Selector;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Counts the live engines and service replicas that each selector reaches from any place.
 */
final class SelectorReach {

	private static final Count NONE = new Count(0, 0);

	private final HostList hosts;

	private SelectorReach(HostList hosts) {
		this.hosts = hosts;
	}

	static SelectorReach of(HostList hosts) {
		return new SelectorReach(hosts);
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
		configuration.getSelectorsList().forEach((selector) -> {
			LabelExpression targets = LabelExpression.of(selector.getTargets());
			counts.put(selector.getName(), new Count(
					servers(selector, BackendServer.Kind.ENGINE, pools(configuration.getPoolsList(), targets)),
					servers(selector, BackendServer.Kind.SERVICE, services(configuration.getServicesList(), targets))));
		});
		return counts;
	}

	private static List<String> pools(List<Pool> pools, LabelExpression targets) {
		return pools.stream().filter((pool) -> {
			Map<String, String> labels = new HashMap<>(pool.getLabelsMap());
			labels.put("name", pool.getName());
			labels.put("role", pool.getRole().name().toLowerCase(Locale.ROOT));
			labels.put("model", pool.getModel());
			labels.put("place", pool.getPlace());
			return targets.matches(labels);
		}).map(Pool::getName).toList();
	}

	private static List<String> services(List<PlainService> services, LabelExpression targets) {
		return services.stream().filter((service) -> {
			Map<String, String> labels = new HashMap<>(service.getLabelsMap());
			labels.put("name", service.getName());
			labels.put("service", service.getName());
			return targets.matches(labels);
		}).map(PlainService::getName).toList();
	}

	private int servers(Selector selector, BackendServer.Kind kind, List<String> groups) {
		List<String> places = selector.getPlacesList();
		return (int) this.hosts.servers()
			.stream()
			.filter((server) -> server.kind() == kind && !server.leaving() && groups.contains(server.group()))
			.filter((server) -> places.isEmpty() || places.contains(server.place().value()))
			.count();
	}

	private record Count(int engines, int replicas) {

		JsonObject toJson() {
			return new JsonObject().put("engines", this.engines).put("replicas", this.replicas);
		}

	}

}
