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
 * Report on the number of engines and services that each selector reaches from any entry
 * place.
 *
 * @param selectors the targets reached by each selector, sorted by selector name
 * @param warnings likely configuration mistakes for an operator to check; they do not
 * make a change invalid
 */
public record ReachabilityReport(List<SelectorReachability> selectors, List<String> warnings) {

	public ReachabilityReport {
		selectors = List.copyOf(selectors);
		warnings = List.copyOf(warnings);
	}

	/**
	 * Create a report for the given configuration and host list.
	 * @param configuration the configuration
	 * @param hosts the host list
	 * @return the report
	 */
	public static ReachabilityReport of(Configuration configuration, HostList hosts) {
		Objects.requireNonNull(configuration, "configuration");
		Map<Kind, Map<String, List<BackendServer>>> live = hosts.servers()
			.stream()
			.filter((server) -> !server.leaving())
			.collect(Collectors.groupingBy(BackendServer::kind, Collectors.groupingBy(BackendServer::group)));
		Map<Pool, Map<String, String>> poolLabels = new HashMap<>();
		configuration.getPoolsList().forEach((pool) -> poolLabels.put(pool, Labels.ofPool(pool)));
		List<SelectorReachability> selectors = CompiledSelector.compileAll(configuration)
			.stream()
			.map((selector) -> countTargets(configuration, selector, poolLabels, live))
			.toList();
		return new ReachabilityReport(selectors, warnings(configuration, hosts, selectors));
	}

	private static SelectorReachability countTargets(Configuration configuration, CompiledSelector selector,
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
		return new SelectorReachability(selector.selector().getName(), pools, prefill, decode, services, replicas);
	}

	private static int count(CompiledSelector selector, Kind kind, String group,
			Map<Kind, Map<String, List<BackendServer>>> live) {
		return (int) live.getOrDefault(kind, Map.of())
			.getOrDefault(group, List.of())
			.stream()
			.filter((server) -> selector.allowsPlace(server.place()))
			.count();
	}

	private static List<String> warnings(Configuration configuration, HostList hosts,
			List<SelectorReachability> selectors) {
		List<String> warnings = new ArrayList<>();
		for (SelectorReachability selector : selectors) {
			if (selector.prefillEngines() + selector.decodeEngines() + selector.replicas() == 0) {
				warnings.add("Selector " + selector.selector() + " reaches no live backend server");
			}
			else if ((selector.prefillEngines() == 0) != (selector.decodeEngines() == 0)) {
				warnings.add("Selector " + selector.selector()
						+ " reaches engines of one role only; model requests need" + " prefill and decode");
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
	 * Number of targets that one selector reaches.
	 *
	 * @param selector name of the selector
	 * @param pools number of selected pools
	 * @param prefillEngines number of live prefill engines of these pools in allowed
	 * places
	 * @param decodeEngines number of live decode engines of these pools in allowed places
	 * @param services number of selected services
	 * @param replicas number of live replicas of these services in allowed places
	 */
	public record SelectorReachability(String selector, int pools, int prefillEngines, int decodeEngines, int services,
			int replicas) {
	}

}
