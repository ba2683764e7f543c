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
 * Division of the engines into scheduling domains; equal on all routers that see the same
 * configuration and host list.
 * <p>
 * A place with both roles is a domain of its own, so that each engine has one scheduler.
 * The engines of all other places of a model form one domain, named after the first such
 * place, because they can only be used together.
 */
public final class DomainMap {

	private final Map<String, DomainId> domainByEngine = new HashMap<>();

	private final Map<DomainId, List<EngineFacts>> engines;

	private DomainMap(List<EngineFacts> facts) {
		facts.stream()
			.collect(Collectors.groupingBy(EngineFacts::model))
			.forEach((model, ofModel) -> divide(model, ofModel));
		this.engines = facts.stream().collect(Collectors.groupingBy((fact) -> this.domainByEngine.get(fact.name())));
	}

	private void divide(String model, List<EngineFacts> facts) {
		Map<Place, Set<EngineRole>> roles = facts.stream()
			.collect(Collectors.groupingBy(EngineFacts::place,
					Collectors.mapping(EngineFacts::role, Collectors.toSet())));
		Optional<Place> shared = roles.keySet()
			.stream()
			.filter((place) -> roles.get(place).size() < 2)
			.sorted()
			.findFirst();
		facts.forEach((fact) -> {
			Place place = (roles.get(fact.place()).size() < 2) ? shared.orElseThrow() : fact.place();
			this.domainByEngine.put(fact.name(), new DomainId(model, place));
		});
	}

	/**
	 * Divides the engines that are in use.
	 * @param configuration the configuration in force
	 * @param hosts the host list
	 * @return the map
	 */
	public static DomainMap of(Configuration configuration, HostList hosts) {
		Map<String, Pool> pools = configuration.getPoolsList()
			.stream()
			.collect(Collectors.toMap(Pool::getName, Function.identity(), (first, second) -> first));
		return new DomainMap(hosts.servers()
			.stream()
			.filter((server) -> server.kind() == BackendServer.Kind.ENGINE && !server.leaving())
			.filter((server) -> pools.containsKey(server.group()))
			.map((server) -> facts(server, pools.get(server.group())))
			.toList());
	}

	private static EngineFacts facts(BackendServer server, Pool pool) {
		return new EngineFacts(server.name().value(), pool.getName(), pool.getRole(), pool.getModel(), server.place(),
				server.region());
	}

	/**
	 * Returns the domain of an engine.
	 * @param engine name of the engine
	 * @return its domain, empty if the engine is not in use
	 */
	public Optional<DomainId> domain(String engine) {
		return Optional.ofNullable(this.domainByEngine.get(engine));
	}

	/**
	 * Returns the engines of a domain.
	 * @param domain the domain
	 * @return its engines
	 */
	public List<EngineFacts> engines(DomainId domain) {
		return this.engines.getOrDefault(domain, List.of());
	}

}
