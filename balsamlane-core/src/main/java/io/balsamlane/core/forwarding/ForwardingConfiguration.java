package io.balsamlane.core.forwarding;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An accepted version of the routes, services, limits and customers. Immutable.
 */
public final class ForwardingConfiguration {

	private final long version;

	private final Map<String, List<ForwardingRoute>> routesByHost;

	private final Map<String, ForwardedService> services;

	private final CallerLimits limits;

	private final CustomerDirectory customers;

	private ForwardingConfiguration(long version, Map<String, List<ForwardingRoute>> routesByHost,
			Map<String, ForwardedService> services, CallerLimits limits, CustomerDirectory customers) {
		this.version = version;
		this.routesByHost = routesByHost;
		this.services = services;
		this.limits = limits;
		this.customers = customers;
	}

	/**
	 * Create a configuration without customers.
	 * @param version version of the configuration, above 0
	 * @param routes the routes
	 * @param services the services
	 * @param limits the limits for callers
	 * @return the configuration
	 */
	public static ForwardingConfiguration of(long version, List<ForwardingRoute> routes,
			List<ForwardedService> services, CallerLimits limits) {
		return of(version, routes, services, limits, CustomerDirectory.empty());
	}

	/**
	 * Create a configuration.
	 * @param version version of the configuration, above 0
	 * @param routes the routes
	 * @param services the services
	 * @param limits the limits for callers
	 * @param customers the customers and their API keys
	 * @return the configuration
	 */
	public static ForwardingConfiguration of(long version, List<ForwardingRoute> routes,
			List<ForwardedService> services, CallerLimits limits, CustomerDirectory customers) {
		if (version < 1) {
			throw new IllegalArgumentException("Configuration version " + version + " is not above 0");
		}
		Comparator<ForwardingRoute> longestFirst = Comparator
			.comparingInt((ForwardingRoute route) -> route.prefix().length())
			.reversed();
		Map<String, List<ForwardingRoute>> byHost = routes.stream()
			.sorted(longestFirst)
			.collect(Collectors.groupingBy((route) -> route.host().toLowerCase(Locale.ROOT)));
		return new ForwardingConfiguration(version, Map.copyOf(byHost),
				services.stream().collect(Collectors.toUnmodifiableMap(ForwardedService::name, Function.identity())),
				limits, customers);
	}

	/**
	 * Return the version.
	 * @return the version, above 0
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return the limits for callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Return the customers.
	 * @return the customers and their API keys, empty if callers need no key
	 */
	public CustomerDirectory customers() {
		return this.customers;
	}

	/**
	 * Identify the sender of a request.
	 * @param route route of the request
	 * @param bearerKey the API key as received in a header, empty if the request does not
	 * have exactly one
	 * @return the customer, or the reason why there is none
	 */
	public CallerIdentity identify(ForwardingRoute route, Optional<String> bearerKey) {
		if (this.customers.isEmpty()) {
			return new CallerIdentity.Unrestricted();
		}
		if (route.publicAccess()) {
			return new CallerIdentity.Anonymous();
		}
		return bearerKey.flatMap(this.customers::identify)
			.<CallerIdentity>map(CallerIdentity.Identified::new)
			.orElse(new CallerIdentity.Unknown(bearerKey.isPresent()));
	}

	/**
	 * Find the route of a request, which is the route of the host with the longest
	 * matching prefix.
	 * @param host value of the Host header, without port
	 * @param path path of the request, without query
	 * @return the route, empty if none matches
	 */
	public Optional<ForwardingRoute> route(String host, String path) {
		return this.routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Return the service with the given name.
	 * @param name name of the service
	 * @return the service, empty if it is unknown
	 */
	public Optional<ForwardedService> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Return all services.
	 * @return the services
	 */
	public Collection<ForwardedService> services() {
		return this.services.values();
	}

	/**
	 * Return the number of routes.
	 * @return the number of routes of all hosts
	 */
	public int routeCount() {
		return this.routesByHost.values().stream().mapToInt(List::size).sum();
	}

}
