package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.BackendServer.Kind;
import io.balsamlane.core.model.HostList;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;

/**
 * How many engines and services each selector reaches, over all entry places.
 *
 * @param selectors reach of each selector, by name
 * @param warnings what an operator should look at; a change with warnings is still valid
 */
public record ReachReport(List<SelectorReach> selectors, List<String> warnings) {

	public ReachReport {
		selectors = List.copyOf(selectors);
		warnings = List.copyOf(warnings);
	}

	/**
	 * Creates a report.
	 * @param configuration the configuration
	 * @param hosts the host list
	 * @return the report
	 */
	public static ReachReport of(Configuration configuration, HostList hosts) {
		Objects.requireNonNull(configuration, "configuration");
		Map<Kind, Map<String, List<BackendServer>>> live = hosts.servers()
			.stream()
			.filter((server) -> !server.leaving())
			.collect(Collectors.groupingBy(BackendServer::kind, Collectors.groupingBy(BackendServer::group)));
		Map<Pool, Map<String, String>> poolLabels = new HashMap<>();
		configuration.getPoolsList().forEach((pool) -> poolLabels.put(pool, Labels.ofPool(pool)));
		List<SelectorReach> reaches = CompiledSelector.all(configuration)
			.stream()
			.map((selector) -> reach(configuration, selector, poolLabels, live))
			.toList();
		return new ReachReport(reaches, warnings(configuration, hosts, reaches));
	}

	private static SelectorReach reach(Configuration configuration, CompiledSelector selector,
			Map<Pool, Map<String, String>> poolLabels, Map<Kind, Map<String, List<BackendServer>>> live) {
		int pools = 0;
		int prefill = 0;
		int decode = 0;
		for (Pool pool : configuration.getPoolsList()) {
			if (selector.targets().matches(poolLabels.get(pool))) {
				pools++;
				int engines = count(selector, Kind.ENGINE, pool.getName(), live);
				prefill += (pool.getRole() == EngineRole.PREFILL) ? engines : 0;
				decode += (pool.getRole() == EngineRole.DECODE) ? engines : 0;
			}
		}
		int services = 0;
		int replicas = 0;
		for (PlainService service : configuration.getServicesList()) {
			if (selector.targets().matches(Labels.ofService(service))) {
				services++;
				replicas += count(selector, Kind.SERVICE, service.getName(), live);
			}
		}
		return new SelectorReach(selector.selector().getName(), pools, prefill, decode, services, replicas);
	}

	private static int count(CompiledSelector selector, Kind kind, String group,
			Map<Kind, Map<String, List<BackendServer>>> live) {
		return (int) live.getOrDefault(kind, Map.of())
			.getOrDefault(group, List.of())
			.stream()
			.filter((server) -> selector.allowsPlace(server.place()))
			.count();
	}

	private static List<String> warnings(Configuration configuration, HostList hosts, List<SelectorReach> reaches) {
		List<String> warnings = new ArrayList<>();
		for (SelectorReach reach : reaches) {
			if (reach.prefillEngines() + reach.decodeEngines() + reach.replicas() == 0) {
				warnings.add("Selector " + reach.selector() + " reaches no live backend server");
			}
			else if ((reach.prefillEngines() == 0) != (reach.decodeEngines() == 0)) {
				warnings.add("Selector " + reach.selector() + " reaches engines of one role only; model requests need"
						+ " prefill and decode");
			}
		}
		Set<String> places = Stream
			.concat(hosts.servers().stream().map((server) -> server.place().value()),
					hosts.routers().stream().map((router) -> router.place().value()))
			.collect(Collectors.toSet());
		configuration.getPoolsList()
			.stream()
			.filter((pool) -> !places.contains(pool.getPlace()))
			.forEach((pool) -> warnings
				.add("Pool " + pool.getName() + ": no host of the host list is in place " + pool.getPlace()));
		configuration.getSelectorsList()
			.forEach((selector) -> selector.getPlacesList()
				.stream()
				.filter((place) -> !places.contains(place))
				.forEach((place) -> warnings
					.add("Selector " + selector.getName() + ": no host of the host list is in place " + place)));
		return warnings;
	}

	/**
	 * Reach of one selector.
	 *
	 * @param selector name of the selector
	 * @param pools pools that it selects
	 * @param prefillEngines live prefill engines in the places that it allows
	 * @param decodeEngines live decode engines in the places that it allows
	 * @param services services that it selects
	 * @param replicas live replicas in the places that it allows
	 */
	public record SelectorReach(String selector, int pools, int prefillEngines, int decodeEngines, int services,
			int replicas) {
	}

}
