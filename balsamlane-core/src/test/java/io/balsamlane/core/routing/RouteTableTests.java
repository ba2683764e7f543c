package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostList;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.routing.Explanation.Decision;
import io.balsamlane.core.routing.Explanation.ServerVerdict;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Pool;
import io.balsamlane.schema.Selector;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an index that loses or adds a route, and against explanations that
 * differ from the actual routing of requests.
 */
class RouteTableTests {

	private static final List<String> PLACES = List.of("doto-a", "dohoku-a", "donan-a");

	private static final List<String> REQUESTS = List.of("", "caller = c1", "caller in (c1, c2), tier = gold",
			"model = m1", "service = s1", "tier != gold", "!caller", "place = doto-a", "caller notin (c1)", "caller");

	private static final List<String> TARGETS = List.of("", "model = m1", "name in (p0, p1, p2, p3)", "stage = new",
			"stage != new", "service", "role = decode", "!stage");

	@Property(tries = 300, seed = "8201")
	void explanationMatchesRoute(@ForAll long seed) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		Configuration configuration = configuration(random);
		HostList hosts = hosts(random);
		Place place = Place.of(PLACES.get(random.nextInt(3)));
		RouteTable table = RouteTable.of(configuration, hosts, place, region(place));
		RouteExplainer explainer = RouteExplainer.of(configuration, hosts, place, region(place));
		for (String name : List.of("", "c1", "c2", "c3")) {
			Caller caller = explainer.caller(name);
			assertExplanationMatches(table.modelRoute(caller, "m1"), explainer.model(caller, "m1"));
			assertExplanationMatches(table.modelRoute(caller, "m2"), explainer.model(caller, "m2"));
			assertExplanationMatches(table.serviceRoute(caller, "s1"), explainer.service(caller, "s1"));
		}
	}

	private static void assertExplanationMatches(Route route, Explanation explanation) {
		Optional<String> chosen = explanation.selectors()
			.stream()
			.filter((verdict) -> verdict.decision() == Decision.CHOSEN)
			.map(Explanation.SelectorVerdict::selector)
			.findFirst();
		Set<ServerName> reachable = explanation.targets()
			.stream()
			.flatMap((target) -> target.servers().stream())
			.filter(ServerVerdict::reachable)
			.map(ServerVerdict::server)
			.collect(Collectors.toSet());
		if (route instanceof Route.ToEngines engines) {
			List<BackendServer> servers = new ArrayList<>(engines.prefill());
			servers.addAll(engines.decode());
			assertThat(chosen).contains(engines.selector().getName());
			assertThat(servers).extracting(BackendServer::name).containsExactlyInAnyOrderElementsOf(reachable);
		}
		else if (route instanceof Route.ToService service) {
			assertThat(chosen).contains(service.selector().getName());
			assertThat(service.replicas()).extracting(BackendServer::name)
				.containsExactlyInAnyOrderElementsOf(reachable);
		}
		else {
			assertThat(chosen).isEmpty();
		}
	}

	private static Configuration configuration(UniformRandomProvider random) {
		Configuration.Builder configuration = Configuration.newBuilder().setRevision(1);
		for (int index = 0; index < 8; index++) {
			Pool.Builder pool = Pool.newBuilder()
				.setName("p" + index)
				.setRole((index % 2 == 0) ? EngineRole.PREFILL : EngineRole.DECODE)
				.setModel((index < 5) ? "m1" : "m2")
				.setPlace(PLACES.get(random.nextInt(3)));
			configuration.addPools(random.nextBoolean() ? pool.putLabels("stage", "new") : pool);
		}
		configuration.addServices(PlainService.newBuilder().setName("s1"));
		configuration.addCallers(Caller.newBuilder().setName("c1").putLabels("tier", "gold"));
		configuration.addCallers(Caller.newBuilder().setName("c2").putLabels("tier", "iron").putLabels("model", "m1"));
		for (int index = 0; index < 4; index++) {
			Selector.Builder selector = Selector.newBuilder()
				.setName("sel" + random.nextInt(100) + "-" + index)
				.setRequests(REQUESTS.get(random.nextInt(REQUESTS.size())))
				.setTargets(TARGETS.get(random.nextInt(TARGETS.size())))
				.setCrossRegion(random.nextBoolean());
			configuration
				.addSelectors((random.nextInt(3) == 0) ? selector.addPlaces(PLACES.get(random.nextInt(3))) : selector);
		}
		return configuration.build();
	}

	private static HostList hosts(UniformRandomProvider random) {
		List<BackendServer> servers = new ArrayList<>();
		for (int index = 0; index < 24; index++) {
			boolean engine = random.nextInt(6) > 0;
			Place place = Place.of(PLACES.get(random.nextInt(3)));
			servers.add(new BackendServer(ServerName.of("server-" + index),
					engine ? BackendServer.Kind.ENGINE : BackendServer.Kind.SERVICE,
					engine ? "p" + random.nextInt(8) : "s1", place, region(place),
					Endpoint.of("127.0.0.1", 1000 + index), random.nextInt(5) == 0));
		}
		return new HostList(servers, List.of());
	}

	private static String region(Place place) {
		return place.value().substring(0, 4);
	}

	@Test
	void reachabilityReportCountsLiveServersAndWarnsAboutUnreachableTargets() {
		Configuration configuration = Configuration.newBuilder()
			.addPools(Pool.newBuilder().setName("fill").setRole(EngineRole.PREFILL).setModel("m").setPlace("doto-a"))
			.addPools(Pool.newBuilder().setName("dec").setRole(EngineRole.DECODE).setModel("m").setPlace("nowhere"))
			.addSelectors(Selector.newBuilder().setName("all"))
			.addSelectors(Selector.newBuilder().setName("half").setTargets("role = prefill"))
			.addSelectors(Selector.newBuilder().setName("typo").setTargets("model = n"))
			.build();
		HostList hosts = new HostList(
				List.of(server("e1", "fill", false), server("e2", "dec", false), server("e3", "dec", true)), List.of());
		ReachabilityReport report = ReachabilityReport.of(configuration, hosts);
		assertThat(report.selectors()).containsExactly(
				new ReachabilityReport.SelectorReachability("all", 2, 1, 1, 0, 0),
				new ReachabilityReport.SelectorReachability("half", 1, 1, 0, 0, 0),
				new ReachabilityReport.SelectorReachability("typo", 0, 0, 0, 0, 0));
		assertThat(report.warnings()).containsExactly(
				"Selector half reaches engines of one role only; model requests need prefill and decode",
				"Selector typo reaches no live backend server",
				"Pool dec: no host of the host list is in place nowhere");
	}

	private static BackendServer server(String name, String group, boolean leaving) {
		return new BackendServer(ServerName.of(name), BackendServer.Kind.ENGINE, group, Place.of("doto-a"), "doto",
				Endpoint.of("127.0.0.1", 1000), leaving);
	}

}
