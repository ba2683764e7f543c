package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import io.balsamlane.core.configuration.LabelExpression;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.Selector;

/**
 * Answers which backend servers a request may reach under one configuration and one host
 * list, as seen from one place.
 */
public final class RouteTable {

	private final Configuration configuration;

	private final Place place;

	private final String region;

	private final Map<String, List<BackendServer>> serversByGroup;

	private final Map<String, Caller> callersByTokenHash;

	private final List<CompiledSelector> selectors;

	private RouteTable(Configuration configuration, HostList hosts, Place place, String region) {
		this.configuration = configuration;
		this.place = place;
		this.region = region;
		this.serversByGroup = hosts.servers()
			.stream()
			.filter((server) -> !server.leaving())
			.collect(Collectors.groupingBy(BackendServer::group));
		this.callersByTokenHash = configuration.getCallersList()
			.stream()
			.filter((caller) -> !caller.getTokenSha256().isEmpty())
			.collect(Collectors.toMap(Caller::getTokenSha256, (caller) -> caller, (first, second) -> first));
		this.selectors = configuration.getSelectorsList()
			.stream()
			.sorted(Comparator.comparing(Selector::getName))
			.map(CompiledSelector::of)
			.toList();
	}

	/**
	 * Creates a table.
	 * @param configuration the configuration in force
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

	/**
	 * Returns the revision of the configuration.
	 * @return the revision
	 */
	public long revision() {
		return this.configuration.getRevision();
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Finds a caller by its bearer token.
	 * @param tokenSha256 hash of the token, lower-case hexadecimal
	 * @return the caller, if one has this token
	 */
	public Optional<Caller> caller(String tokenSha256) {
		return Optional.ofNullable(this.callersByTokenHash.get(tokenSha256));
	}

	/**
	 * Finds the engines that a model request may reach.
	 * @param caller the caller; empty fields for an anonymous one
	 * @param model name of the model
	 * @return the route
	 */
	public Route modelRoute(Caller caller, String model) {
		List<Pool> pools = this.configuration.getPoolsList()
			.stream()
			.filter((pool) -> pool.getModel().equals(model))
			.toList();
		if (pools.isEmpty()) {
			return new Route.None("unknown-model",
					"No pool serves model \"" + model + "\"; check the name or create a pool with model = " + model);
		}
		Map<String, String> labels = requestLabels(caller, "model", model);
		for (CompiledSelector selector : this.selectors) {
			if (!selector.requests().matches(labels)) {
				continue;
			}
			List<BackendServer> prefill = engines(pools, EngineRole.PREFILL, selector);
			List<BackendServer> decode = engines(pools, EngineRole.DECODE, selector);
			if (!prefill.isEmpty() && !decode.isEmpty()) {
				return new Route.ToEngines(prefill, decode, selector.selector());
			}
		}
		return none("model", model);
	}

	/**
	 * Finds the replicas that a call of a plain service may reach.
	 * @param caller the caller; empty fields for an anonymous one
	 * @param name name of the service
	 * @return the route
	 */
	public Route serviceRoute(Caller caller, String name) {
		Optional<PlainService> service = this.configuration.getServicesList()
			.stream()
			.filter((candidate) -> candidate.getName().equals(name))
			.findFirst();
		if (service.isEmpty()) {
			return new Route.None("unknown-service",
					"No service has the name \"" + name + "\"; check the name or create the service");
		}
		Map<String, String> labels = requestLabels(caller, "service", name);
		Map<String, String> targetLabels = new HashMap<>(service.get().getLabelsMap());
		targetLabels.put("service", name);
		targetLabels.put("name", name);
		for (CompiledSelector selector : this.selectors) {
			if (selector.requests().matches(labels) && selector.targets().matches(targetLabels)) {
				List<BackendServer> replicas = reachable(this.serversByGroup.getOrDefault(name, List.of()), selector);
				if (!replicas.isEmpty()) {
					return new Route.ToService(replicas, service.get(), selector.selector());
				}
			}
		}
		return none("service", name);
	}

	private static Route none(String what, String name) {
		return new Route.None("no-route", "No selector lets this request reach a live backend server for " + what + " "
				+ name + "; ask an operator to run: balsamlanectl explain");
	}

	private Map<String, String> requestLabels(Caller caller, String targetKey, String target) {
		Map<String, String> labels = new HashMap<>(caller.getLabelsMap());
		if (!caller.getName().isEmpty()) {
			labels.put("caller", caller.getName());
		}
		labels.put("place", this.place.value());
		labels.put("region", this.region);
		labels.put(targetKey, target);
		return labels;
	}

	private List<BackendServer> engines(List<Pool> pools, EngineRole role, CompiledSelector selector) {
		List<BackendServer> candidates = pools.stream()
			.filter((pool) -> pool.getRole() == role)
			.filter((pool) -> selector.targets().matches(poolLabels(pool)))
			.flatMap((pool) -> this.serversByGroup.getOrDefault(pool.getName(), List.of()).stream())
			.toList();
		return reachable(candidates, selector);
	}

	private static Map<String, String> poolLabels(Pool pool) {
		Map<String, String> labels = new LinkedHashMap<>(pool.getLabelsMap());
		labels.put("name", pool.getName());
		labels.put("role", pool.getRole().name().toLowerCase(java.util.Locale.ROOT));
		labels.put("model", pool.getModel());
		labels.put("place", pool.getPlace());
		return labels;
	}

	private List<BackendServer> reachable(List<BackendServer> candidates, CompiledSelector selector) {
		List<BackendServer> reachable = new ArrayList<>(candidates.stream()
			.filter((server) -> selector.allowsPlace(server.place()))
			.filter((server) -> selector.selector().getCrossRegion() || server.region().equals(this.region))
			.toList());
		reachable.sort(Comparator.comparing((BackendServer server) -> !server.place().equals(this.place))
			.thenComparing((server) -> !server.region().equals(this.region)));
		return List.copyOf(reachable);
	}

	private record CompiledSelector(Selector selector, LabelExpression requests, LabelExpression targets) {

		static CompiledSelector of(Selector selector) {
			return new CompiledSelector(selector, LabelExpression.of(selector.getRequests()),
					LabelExpression.of(selector.getTargets()));
		}

		boolean allowsPlace(Place place) {
			return this.selector.getPlacesCount() == 0 || this.selector.getPlacesList().contains(place.value());
		}

	}

}
