package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.BackendServer.Kind;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;

/**
 * Routing table that resolves the backend servers a request may reach from one place,
 * given one configuration and one host list.
 * <p>
 * Everything that does not depend on the caller is resolved when the table is created, so
 * that a lookup evaluates only the selectors that lead to the requested target and do not
 * require another caller.
 */
public final class RouteTable {

	private final Configuration configuration;

	private final Place place;

	private final String region;

	private final Map<String, Caller> callersByTokenHash;

	private final Map<String, TargetIndex> models = new HashMap<>();

	private final Map<String, TargetIndex> services = new HashMap<>();

	private RouteTable(Configuration configuration, HostList hosts, Place place, String region) {
		this.configuration = configuration;
		this.place = place;
		this.region = region;
		this.callersByTokenHash = configuration.getCallersList()
			.stream()
			.filter((caller) -> !caller.getTokenSha256().isEmpty())
			.collect(Collectors.toMap(Caller::getTokenSha256, (caller) -> caller, (first, second) -> first));
		List<CompiledSelector> selectors = CompiledSelector.compileAll(configuration);
		ServerIndex servers = new ServerIndex(hosts, place, region);
		configuration.getPoolsList()
			.stream()
			.collect(Collectors.groupingBy(Pool::getModel, LinkedHashMap::new, Collectors.toList()))
			.forEach((model, pools) -> this.models.put(model, modelIndex(model, pools, selectors, servers)));
		configuration.getServicesList()
			.forEach((service) -> this.services.putIfAbsent(service.getName(),
					serviceIndex(service, selectors, servers)));
	}

	/**
	 * Create a routing table.
	 * @param configuration the applied configuration
	 * @param hosts the host list
	 * @param place place of this router
	 * @param region region of this router
	 * @return the table
	 */
	public static RouteTable of(Configuration configuration, HostList hosts, Place place, String region) {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(hosts, "hosts");
		return new RouteTable(configuration, hosts, place, region);
	}

	private TargetIndex modelIndex(String model, List<Pool> pools, List<CompiledSelector> selectors,
			ServerIndex servers) {
		Map<String, String> targetLabels = Labels.ofTarget(Labels.MODEL, model, this.place.value(), this.region);
		Map<Pool, Map<String, String>> poolLabels = new LinkedHashMap<>();
		pools.forEach((pool) -> poolLabels.put(pool, Labels.ofPool(pool)));
		TargetIndex index = new TargetIndex();
		for (int order = 0; order < selectors.size(); order++) {
			CompiledSelector selector = selectors.get(order);
			if (!selector.targetCondition().matches(targetLabels)) {
				continue;
			}
			List<BackendServer> prefill = engines(poolLabels, EngineRole.PREFILL, selector, servers);
			List<BackendServer> decode = engines(poolLabels, EngineRole.DECODE, selector, servers);
			if (!prefill.isEmpty() && !decode.isEmpty()) {
				index.add(order, selector.callerCondition(), new Route.ToEngines(prefill, decode, selector.selector()));
			}
		}
		return index;
	}

	private static List<BackendServer> engines(Map<Pool, Map<String, String>> pools, EngineRole role,
			CompiledSelector selector, ServerIndex servers) {
		List<String> names = new ArrayList<>();
		pools.forEach((pool, labels) -> {
			if (pool.getRole() == role && selector.targets().matches(labels)) {
				names.add(pool.getName());
			}
		});
		return servers.reachable(Kind.ENGINE, names, selector);
	}

	private TargetIndex serviceIndex(PlainService service, List<CompiledSelector> selectors, ServerIndex servers) {
		Map<String, String> targetLabels = Labels.ofTarget(Labels.SERVICE, service.getName(), this.place.value(),
				this.region);
		Map<String, String> labels = Labels.ofService(service);
		TargetIndex index = new TargetIndex();
		for (int order = 0; order < selectors.size(); order++) {
			CompiledSelector selector = selectors.get(order);
			if (selector.targetCondition().matches(targetLabels) && selector.targets().matches(labels)) {
				List<BackendServer> replicas = servers.reachable(Kind.SERVICE, List.of(service.getName()), selector);
				if (!replicas.isEmpty()) {
					index.add(order, selector.callerCondition(),
							new Route.ToService(replicas, service, selector.selector()));
				}
			}
		}
		return index;
	}

	/**
	 * Return the revision of the configuration.
	 * @return the revision
	 */
	public long revision() {
		return this.configuration.getRevision();
	}

	/**
	 * Return the configuration.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Find the caller that owns a bearer token.
	 * @param tokenSha256 hash (SHA-256) of the token in lower-case hexadecimal
	 * @return the caller; empty if no caller has this token
	 */
	public Optional<Caller> caller(String tokenSha256) {
		return Optional.ofNullable(this.callersByTokenHash.get(tokenSha256));
	}

	/**
	 * Find the engines that a model request may reach.
	 * @param caller the caller; an instance with empty fields if anonymous
	 * @param model name of the model
	 * @return the route
	 */
	public Route modelRoute(Caller caller, String model) {
		TargetIndex index = this.models.get(model);
		if (index == null) {
			return new Route.None("unknown-model",
					"No pool serves model \"" + model + "\"; check the name or create a pool with model = " + model);
		}
		return index.find(caller).orElseGet(() -> noRoute(Labels.MODEL, model));
	}

	/**
	 * Find the replicas that a plain service call may reach.
	 * @param caller the caller; an instance with empty fields if anonymous
	 * @param name name of the service
	 * @return the route
	 */
	public Route serviceRoute(Caller caller, String name) {
		TargetIndex index = this.services.get(name);
		if (index == null) {
			return new Route.None("unknown-service",
					"No service has the name \"" + name + "\"; check the name or create the service");
		}
		return index.find(caller).orElseGet(() -> noRoute(Labels.SERVICE, name));
	}

	private static Route noRoute(String targetKind, String name) {
		return new Route.None("no-route", "No selector lets this request reach a live backend server for " + targetKind
				+ " " + name + "; ask an operator to run: balsamlanectl explain");
	}

}
