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
 * Who tells whom about work on engines, and who reads the platform's store for others.
 * <p>
 * Up to {@value #MAX_MESH_ROUTERS} routers, each tells each and each reads the store. In
 * a larger fleet both would grow with the square of the fleet or beyond the store's
 * rates. One router of each region then collects the work of its region, exchanges sums
 * with the collectors of the other regions and tells the sums to its region; another one
 * reads the store for its region. Routers that see different members may choose different
 * ones for a moment, which costs accuracy or calls, not safety.
 */
public final class FleetRoles {

	/**
	 * Between the 7 routers of the deployments that tell each other and the 72 of those
	 * that need collectors, see docs/decisions/0008.
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
	 * Creates the roles in a fleet.
	 * @param members the routers that are alive
	 * @param regionOf returns the region of a place
	 * @return the roles
	 */
	public static FleetRoles of(MemberView members, Function<Place, String> regionOf) {
		return new FleetRoles(members, regionOf);
	}

	/**
	 * Tells whether the fleet is large enough for collectors and readers.
	 * @return true if it is
	 */
	public boolean regional() {
		return this.members.members().size() > MAX_MESH_ROUTERS;
	}

	/**
	 * Returns the router that reads the store for this router's region.
	 * @return the reader, empty if each router reads for itself
	 */
	public Optional<HostName> storeReader() {
		return regional() ? owner("store-reader", ownRegion()) : Optional.empty();
	}

	/**
	 * Returns to whom this router reports work, and whose.
	 * @return the routers with the scope of the reports
	 */
	public Map<HostName, WorkScope> reportTargets() {
		return this.targets;
	}

	private Map<HostName, WorkScope> targets() {
		Map<HostName, WorkScope> found = new HashMap<>();
		if (!regional()) {
			this.members.members().forEach((member) -> found.put(member.host(), WorkScope.OWN));
		}
		else if (collects()) {
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
	 * Tells whether this router collects the work of its region.
	 * @return true if it does
	 */
	public boolean collects() {
		return regional() && collector(ownRegion()).filter(this.members.self().host()::equals).isPresent();
	}

	/**
	 * Returns the router that collects the work on the engines of a region.
	 * @param region the region
	 * @return the collector, empty if each router tells each or the region has no router
	 */
	public Optional<HostName> collectorOf(String region) {
		return regional() ? collector(region) : Optional.empty();
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
