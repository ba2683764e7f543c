package io.balsamlane.core.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against routers that do not receive the work of others, and against reports and
 * store reads that grow with the square of the fleet size.
 */
class FleetRolesTests {

	private static final int LARGE = 90;

	private static List<Member> fleet(int routers) {
		return IntStream.range(0, routers)
			.mapToObj((number) -> new Member(HostName.of("host-" + number), 1, Place.of("place-" + number % 6),
					Endpoint.of("10.0.0.1", 1000 + number)))
			.toList();
	}

	// Maps two places to each region.
	private static String region(Place place) {
		return "region-" + place.value().charAt(place.value().length() - 1) / 2;
	}

	private static Map<HostName, FleetRoles> roles(List<Member> members) {
		return members.stream()
			.collect(Collectors.toMap(Member::host,
					(member) -> FleetRoles.of(new MemberView(member, members), FleetRolesTests::region)));
	}

	@Test
	void routersOfSmallFleetReportToEachOther() {
		roles(fleet(7)).forEach((host, roles) -> {
			assertThat(roles.reportTargets()).hasSize(6).doesNotContainKey(host).containsValue(WorkScope.OWN);
			assertThat(roles.storeReader()).isEmpty();
			assertThat(roles.isCollector()).isFalse();
		});
	}

	@Test
	void routersOfSmallFleetAgreeOnTheRouterThatConfirmsCapacityInARegion() {
		List<Member> members = fleet(7);
		roles(members).values().forEach((roles) -> members.forEach((member) -> {
			String region = region(member.place());
			assertThat(roles.collectorOf(region)).isPresent()
				.isEqualTo(FleetRoles.of(new MemberView(members.get(0), members), FleetRolesTests::region)
					.collectorOf(region));
		}));
	}

	@Test
	void workOfEachRouterReachesAllOthersInLargeFleet() {
		Map<HostName, FleetRoles> fleet = roles(fleet(LARGE));
		fleet.keySet().forEach((source) -> {
			Set<HostName> reached = new HashSet<>();
			propagate(fleet, source, source, WorkScope.OWN, reached);
			assertThat(reached).as("work of %s", source).containsAll(fleet.keySet());
		});
	}

	// Traces the work of one router: a collector forwards OWN reports of other routers
	// within its REGION and REST sums, and REGION sums of other collectors within its
	// REST sums.
	private static void propagate(Map<HostName, FleetRoles> fleet, HostName source, HostName at, WorkScope held,
			Set<HostName> reached) {
		reached.add(at);
		fleet.get(at).reportTargets().forEach((target, scope) -> {
			boolean forwarded = (scope == WorkScope.OWN) ? at.equals(source)
					: (scope == WorkScope.REGION) ? held == WorkScope.OWN : true;
			if (forwarded && reached.add(target) && scope != WorkScope.REST) {
				propagate(fleet, source, target, scope, reached);
			}
		});
	}

	@Test
	void onlyCollectorsReportToManyRoutersInLargeFleet() {
		Map<HostName, FleetRoles> fleet = roles(fleet(LARGE));
		assertThat(fleet.values().stream().filter(FleetRoles::isCollector)).hasSize(3);
		assertThat(fleet.values().stream().filter((roles) -> !roles.isCollector()))
			.allSatisfy((roles) -> assertThat(roles.reportTargets()).hasSize(1).containsValue(WorkScope.OWN));
		assertThat(fleet.values().stream().mapToInt((roles) -> roles.reportTargets().size()).sum())
			.isLessThanOrEqualTo(2 * LARGE);
	}

	@Test
	void oneRouterPerRegionReadsTheStore() {
		List<Member> members = fleet(LARGE);
		Map<HostName, String> regions = members.stream()
			.collect(Collectors.toMap(Member::host, (member) -> region(member.place())));
		Map<HostName, FleetRoles> fleet = roles(members);
		fleet.forEach((host, roles) -> assertThat(roles.storeReader())
			.hasValueSatisfying((reader) -> assertThat(regions.get(reader)).isEqualTo(regions.get(host))));
		assertThat(fleet.values().stream().map(FleetRoles::storeReader).distinct()).hasSize(3);
	}

	@Test
	void lossOfCollectorAffectsOnlyItsRegion() {
		List<Member> members = fleet(LARGE);
		Map<HostName, FleetRoles> before = roles(members);
		Member lost = members.stream()
			.filter((member) -> before.get(member.host()).isCollector())
			.findFirst()
			.orElseThrow();
		Map<HostName, FleetRoles> after = roles(members.stream().filter((member) -> member != lost).toList());
		Function<Map<HostName, FleetRoles>, Set<HostName>> collectors = (fleet) -> fleet.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isCollector())
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		Set<HostName> kept = new HashSet<>(collectors.apply(before));
		kept.remove(lost.host());
		assertThat(collectors.apply(after)).hasSize(3).containsAll(kept).doesNotContain(lost.host());
	}

}
