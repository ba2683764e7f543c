package io.balsamlane.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.Pool;

/**
 * Assignment of engines to scheduling domains. Routers that see the same configuration
 * and host list compute the same assignment.
 * <p>
 * A place that has engines of both roles forms its own domain, so that each engine has
 * exactly one scheduler. The engines of a model in all other places form one domain,
 * named after the first such place, because they can only be used together.
 */
public final class DomainMap {

	private final Map<String, DomainId> domainByEngine = new HashMap<>();

	private final Map<DomainId, List<EngineDescriptor>> engines;

	private DomainMap(List<EngineDescriptor> descriptors) {
		descriptors.stream()
			.collect(Collectors.groupingBy(EngineDescriptor::model))
			.forEach((model, descriptorsOfModel) -> partition(model, descriptorsOfModel));
		this.engines = descriptors.stream()
			.collect(Collectors.groupingBy((descriptor) -> this.domainByEngine.get(descriptor.name())));
	}

	private void partition(String model, List<EngineDescriptor> descriptors) {
		Map<Place, Set<EngineRole>> roles = descriptors.stream()
			.collect(Collectors.groupingBy(EngineDescriptor::place,
					Collectors.mapping(EngineDescriptor::role, Collectors.toSet())));
		Optional<Place> shared = roles.keySet()
			.stream()
			.filter((place) -> roles.get(place).size() < 2)
			.sorted()
			.findFirst();
		descriptors.forEach((descriptor) -> {
			Place place = (roles.get(descriptor.place()).size() < 2) ? shared.orElseThrow() : descriptor.place();
			this.domainByEngine.put(descriptor.name(), new DomainId(model, place));
		});
	}

	/**
	 * Assign the engines in use to domains.
	 * @param configuration the current configuration
	 * @param hosts the host list
	 * @return the domain assignment
	 */
	public static DomainMap of(Configuration configuration, HostList hosts) {
		Map<String, Pool> pools = configuration.getPoolsList()
			.stream()
			.collect(Collectors.toMap(Pool::getName, Function.identity(), (first, second) -> first));
		return new DomainMap(hosts.servers()
			.stream()
			.filter((server) -> server.kind() == BackendServer.Kind.ENGINE && !server.leaving())
			.filter((server) -> pools.containsKey(server.group()))
			.map((server) -> describe(server, pools.get(server.group())))
			.toList());
	}

	private static EngineDescriptor describe(BackendServer server, Pool pool) {
		return new EngineDescriptor(server.name().value(), pool.getName(), pool.getRole(), pool.getModel(),
				server.place(), server.region());
	}

	/**
	 * Return the domain of an engine.
	 * @param engine name of the engine
	 * @return its domain, empty if the engine is not in use
	 */
	public Optional<DomainId> domain(String engine) {
		return Optional.ofNullable(this.domainByEngine.get(engine));
	}

	/**
	 * Return the engines of a domain.
	 * @param domain the domain
	 * @return the engines, empty if the domain is unknown
	 */
	public List<EngineDescriptor> engines(DomainId domain) {
		return this.engines.getOrDefault(domain, List.of());
	}

}
