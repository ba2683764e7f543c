package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.BackendServer.Kind;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.routing.Explanation.Decision;
import io.balsamlane.core.routing.Explanation.SelectorVerdict;
import io.balsamlane.core.routing.Explanation.ServerVerdict;
import io.balsamlane.core.routing.Explanation.TargetVerdict;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;

/**
 * Explains which targets a request or selector may reach from one place, and why the
 * others are excluded.
 */
public final class RouteExplainer {

	private final Configuration configuration;

	private final HostList hosts;

	private final Place place;

	private final String region;

	private final RouteTable table;

	private final List<CompiledSelector> selectors;

	private RouteExplainer(Configuration configuration, HostList hosts, Place place, String region) {
		this.configuration = configuration;
		this.hosts = hosts;
		this.place = place;
		this.region = region;
		this.table = RouteTable.of(configuration, hosts, place, region);
		this.selectors = CompiledSelector.compileAll(configuration);
	}

	/**
	 * Create an explainer for an entry router.
	 * @param configuration the configuration
	 * @param hosts the host list
	 * @param place place of the entry router
	 * @param region region of the entry router
	 * @return the explainer
	 */
	public static RouteExplainer of(Configuration configuration, HostList hosts, Place place, String region) {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(hosts, "hosts");
		return new RouteExplainer(configuration, hosts, place, region);
	}

	/**
	 * Return the caller with the given name.
	 * @param name name of the caller; empty for an anonymous caller
	 * @return the configured caller, or a caller without labels if none has this name
	 */
	public Caller caller(String name) {
		return this.configuration.getCallersList()
			.stream()
			.filter((caller) -> caller.getName().equals(name))
			.findFirst()
			.orElseGet(() -> Caller.newBuilder().setName(name).build());
	}

	/**
	 * Explain the route of a model request.
	 * @param caller the caller
	 * @param model name of the model
	 * @return the explanation
	 */
	public Explanation model(Caller caller, String model) {
		List<Pool> pools = this.configuration.getPoolsList()
			.stream()
			.filter((pool) -> pool.getModel().equals(model))
			.toList();
		return explain(caller, Labels.MODEL, model, this.table.modelRoute(caller, model),
				(selector) -> pools.stream().map((pool) -> verdict(selector, pool)).toList());
	}

	/**
	 * Explain the route of a plain service call.
	 * @param caller the caller
	 * @param name name of the service
	 * @return the explanation
	 */
	public Explanation service(Caller caller, String name) {
		List<PlainService> services = this.configuration.getServicesList()
			.stream()
			.filter((service) -> service.getName().equals(name))
			.toList();
		return explain(caller, Labels.SERVICE, name, this.table.serviceRoute(caller, name),
				(selector) -> services.stream().map((service) -> verdict(selector, service)).toList());
	}

	/**
	 * Explain which pools and services a selector reaches.
	 * @param name name of the selector
	 * @return the explanation; empty if there is no selector with this name or its
	 * expressions cannot be parsed
	 */
	public Optional<Explanation> selector(String name) {
		return this.selectors.stream()
			.filter((selector) -> selector.selector().getName().equals(name))
			.findFirst()
			.map((selector) -> {
				List<TargetVerdict> targets = Stream
					.concat(this.configuration.getPoolsList().stream().map((pool) -> verdict(selector, pool)),
							this.configuration.getServicesList().stream().map((service) -> verdict(selector, service)))
					.toList();
				return new Explanation(new Route.None("no-request", "A selector alone has no route"), List.of(),
						targets);
			});
	}

	private Explanation explain(Caller caller, String key, String target, Route route,
			TargetEvaluator targetEvaluator) {
		Map<String, String> labels = new HashMap<>(Labels.ofCaller(caller));
		labels.putAll(Labels.ofTarget(key, target, this.place.value(), this.region));
		List<SelectorVerdict> verdicts = new ArrayList<>();
		List<TargetVerdict> targets = new ArrayList<>();
		boolean chosen = false;
		for (CompiledSelector selector : this.selectors) {
			String name = selector.selector().getName();
			List<String> failed = selector.requests().failedTerms(labels);
			if (!failed.isEmpty()) {
				verdicts.add(new SelectorVerdict(name, Decision.REQUEST_NOT_SELECTED, failed));
				continue;
			}
			List<TargetVerdict> evaluated = targetEvaluator.evaluate(selector);
			if (chosen) {
				verdicts.add(new SelectorVerdict(name, Decision.LATER_IN_ORDER, List.of()));
				continue;
			}
			chosen = formsRoute(key, evaluated);
			verdicts.add(new SelectorVerdict(name, chosen ? Decision.CHOSEN : Decision.NO_LIVE_TARGET, List.of()));
			if (chosen) {
				targets.clear();
			}
			targets.addAll(evaluated);
		}
		return new Explanation(route, verdicts, targets);
	}

	/**
	 * Return whether the reachable targets form a route. A model request needs engines of
	 * both roles.
	 * @param key label key of the target, {@link Labels#MODEL} or {@link Labels#SERVICE}
	 * @param targets the verdicts on the targets
	 * @return {@code true} if the reachable targets form a route
	 */
	private boolean formsRoute(String key, List<TargetVerdict> targets) {
		if (key.equals(Labels.SERVICE)) {
			return targets.stream().anyMatch(TargetVerdict::reachable);
		}
		return Stream.of(EngineRole.PREFILL, EngineRole.DECODE)
			.allMatch((role) -> targets.stream()
				.filter(TargetVerdict::reachable)
				.anyMatch((target) -> this.configuration.getPoolsList()
					.stream()
					.anyMatch((pool) -> pool.getName().equals(target.name()) && pool.getRole() == role)));
	}

	private TargetVerdict verdict(CompiledSelector selector, Pool pool) {
		return verdict(selector, "pool", pool.getName(), Kind.ENGINE, Labels.ofPool(pool));
	}

	private TargetVerdict verdict(CompiledSelector selector, PlainService service) {
		return verdict(selector, "service", service.getName(), Kind.SERVICE, Labels.ofService(service));
	}

	private TargetVerdict verdict(CompiledSelector selector, String targetKind, String name, Kind kind,
			Map<String, String> labels) {
		List<String> failed = selector.targets().failedTerms(labels);
		List<ServerVerdict> servers = this.hosts.servers()
			.stream()
			.filter((server) -> server.kind() == kind && server.group().equals(name))
			.map((server) -> {
				String reason = failed.isEmpty() ? exclusionReason(selector, server) : String.join(", ", failed);
				return new ServerVerdict(server.name(), reason.isEmpty(), reason);
			})
			.toList();
		return new TargetVerdict(targetKind, name, selector.selector().getName(), failed, servers);
	}

	private String exclusionReason(CompiledSelector selector, BackendServer server) {
		if (server.leaving()) {
			return "leaving";
		}
		if (!selector.allowsPlace(server.place())) {
			return "place " + server.place() + " is not in places " + selector.selector().getPlacesList();
		}
		if (!selector.allowsRegion(server.region(), this.region)) {
			return "region " + server.region() + " is not " + this.region + " and cross_region is false";
		}
		return "";
	}

	@FunctionalInterface
	private interface TargetEvaluator {

		List<TargetVerdict> evaluate(CompiledSelector selector);

	}

}
