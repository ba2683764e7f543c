package io.balsamlane.core.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;

/**
 * Determines the routers to which this router reports work on engines, and the router
 * that reads the platform's store for its region.
 * <p>
 * Up to {@value #MAX_MESH_ROUTERS} routers, every router reports to every other one and
 * reads the store itself. In a larger fleet the reports would grow with the square of the
 * number of routers, and the reads would exceed the store's rate limits. One router of
 * each region is therefore the collector: it aggregates the work of its region, exchanges
 * the totals with the collectors of the other regions and distributes them within its
 * region. Another router reads the store for the region. In every fleet the router that
 * is or would be the collector confirms free capacity on the engines of its region.
 * Routers whose member views differ may temporarily select different routers for these
 * roles, which costs accuracy or extra calls but does not affect safety.
 */
public final class FleetRoles {

	/**
	 * Largest fleet without collectors. Lies between the 7 routers of deployments that
	 * use a full mesh and the 72 routers of those that need collectors, see
	 * docs/decisions/0008.
	 */
	static final int MAX_MESH_ROUTERS = 16;

	private final MemberView members;

	private final Function<Place, String> regionOf;

	private final Map<HostName, WorkScope> targets;

	private FleetRoles(MemberView members, Function<Place, String> regionOf) {
		this.members = members;
		this.regionOf = regionOf;
		this.targets = Map.copyOf(targets());
	}

	/**
	 * Create the roles of this router in a fleet.
	 * @param members the live routers
	 * @param regionOf function that returns the region of a place
	 * @return the roles
	 */
	public static FleetRoles of(MemberView members, Function<Place, String> regionOf) {
		return new FleetRoles(members, regionOf);
	}

	/**
	 * Return whether the fleet is large enough to use a collector and a store reader in
	 * each region.
	 * @return true if the fleet exceeds {@value #MAX_MESH_ROUTERS} routers
	 */
	public boolean usesRegionalRoles() {
		return this.members.members().size() > MAX_MESH_ROUTERS;
	}

	/**
	 * Return the router that reads the store for this router's region.
	 * @return the reader, empty if each router reads the store itself
	 */
	public Optional<HostName> storeReader() {
		return usesRegionalRoles() ? owner("store-reader", ownRegion()) : Optional.empty();
	}

	/**
	 * Return the routers to which this router reports work, and the scope of each report.
	 * @return the scope of the report by receiving router
	 */
	public Map<HostName, WorkScope> reportTargets() {
		return this.targets;
	}

	private Map<HostName, WorkScope> targets() {
		Map<HostName, WorkScope> found = new HashMap<>();
		if (!usesRegionalRoles()) {
			this.members.members().forEach((member) -> found.put(member.host(), WorkScope.OWN));
		}
		else if (isCollector()) {
			regions().stream()
				.filter((region) -> !region.equals(ownRegion()))
				.forEach((region) -> collector(region).ifPresent((host) -> found.put(host, WorkScope.REGION)));
			this.members.members()
				.stream()
				.filter((member) -> region(member).equals(ownRegion()))
				.forEach((member) -> found.put(member.host(), WorkScope.REST));
		}
		else {
			collector(ownRegion()).ifPresent((host) -> found.put(host, WorkScope.OWN));
		}
		found.remove(this.members.self().host());
		return found;
	}

	/**
	 * Return whether this router is the collector of its region.
	 * @return true if this router is the collector of its region
	 */
	public boolean isCollector() {
		return usesRegionalRoles() && collector(ownRegion()).filter(this.members.self().host()::equals).isPresent();
	}

	/**
	 * Return the router that confirms free capacity on the engines of a region. In a
	 * large fleet it is the collector of the region. In a full mesh every router knows
	 * the work of all others, but only after the network latency, so routers that see the
	 * same free capacity would claim it simultaneously there as well.
	 * @param region the region
	 * @return the router, empty if the region has none
	 */
	public Optional<HostName> collectorOf(String region) {
		return collector(region);
	}

	private Optional<HostName> collector(String region) {
		return owner("work-collector", region);
	}

	private Optional<HostName> owner(String role, String region) {
		return this.members.owner(role + "/" + region, (member) -> region(member).equals(region)).map(Member::host);
	}

	private List<String> regions() {
		return this.members.members().stream().map(this::region).distinct().toList();
	}

	private String ownRegion() {
		return region(this.members.self());
	}

	private String region(Member member) {
		return this.regionOf.apply(member.place());
	}

}
