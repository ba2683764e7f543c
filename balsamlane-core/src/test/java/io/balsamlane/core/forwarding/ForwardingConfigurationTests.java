package io.balsamlane.core.forwarding;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are routed contrary to the configuration.
 */
class ForwardingConfigurationTests {

	private static ForwardingRoute route(String prefix, ForwardingRoute.WeightedService... targets) {
		return new ForwardingRoute("route-" + prefix, "example.org", prefix, RequestKind.IDEMPOTENT, 1000, 500, 0,
				List.of(targets), 2, 0);
	}

	private static ForwardingRoute.WeightedService target(String service, int weight) {
		return new ForwardingRoute.WeightedService(service, weight);
	}

	@Test
	void longestPrefixWins() {
		ForwardingConfiguration configuration = ForwardingConfiguration.of(1,
				List.of(route("/a/", target("short", 1)), route("/a/b/", target("long", 1))), List.of(),
				new CallerLimits(1, 1, 1, 1));
		Optional<ForwardingRoute> found = configuration.route("EXAMPLE.org", "/a/b/c");
		assertThat(found).map((route) -> route.service(0)).contains("long");
		assertThat(configuration.route("example.org", "/a/bc")).map((route) -> route.service(0)).contains("short");
		assertThat(configuration.route("example.org", "/other")).isEmpty();
		assertThat(configuration.route("other.org", "/a/")).isEmpty();
	}

	@Test
	void callerEventTimeoutIsMaximumOfMinimumTargetAndPauseTimeouts() {
		ForwardingRoute quick = new ForwardingRoute("r", "h", "/", RequestKind.STREAM, 14_000, 300, 0,
				List.of(target("a", 1)), 1, 100);
		ForwardingRoute slow = new ForwardingRoute("r", "h", "/", RequestKind.STREAM, 14_000, 900, 0,
				List.of(target("a", 1)), 1, 300);
		ForwardingRoute pausing = new ForwardingRoute("r", "h", "/", RequestKind.STREAM, 14_000, 900, 0,
				List.of(target("a", 1)), 1, 500);
		assertThat(quick.callerEventTimeoutMillis()).isEqualTo(2000);
		assertThat(slow.callerEventTimeoutMillis()).isEqualTo(3600);
		assertThat(pausing.callerEventTimeoutMillis()).isEqualTo(4000);
	}

	@Test
	void requestsAreDistributedByWeight() {
		ForwardingRoute split = route("/", target("a", 90), target("b", 10), target("c", 0));
		assertThat(split.service(0)).isEqualTo("a");
		assertThat(split.service(0.89)).isEqualTo("a");
		assertThat(split.service(0.91)).isEqualTo("b");
		assertThat(split.service(0.9999)).isEqualTo("b");
	}

}
