package io.balsamlane.core.overload;

import java.util.List;
import java.util.OptionalInt;

import io.balsamlane.core.forwarding.CallerLimits;
import io.balsamlane.core.forwarding.CustomerDirectory;
import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.forwarding.ForwardingConfiguration;
import io.balsamlane.core.forwarding.ForwardingRoute;
import io.balsamlane.core.forwarding.RequestKind;
import io.balsamlane.core.model.CustomerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change of the order and the rejections in deployments without
 * customers. {@code PlacementQueueTests} pins the order that these use.
 */
class OverloadRuleTests {

	private static final CallerLimits LIMITS = new CallerLimits(16_384, 4_194_304, 3000, 15_000);

	private static ForwardingRoute route(String name, RequestKind kind, int priority, long targetMillis) {
		return new ForwardingRoute(name, "host", "/" + name + "/", kind, 14_000, targetMillis, priority,
				List.of(new ForwardingRoute.WeightedService(kind.streams() ? "model" : "plain", 1)), 2, 0);
	}

	private static ForwardingConfiguration configuration(CustomerDirectory customers) {
		return ForwardingConfiguration.of(1, List.of(route("a", RequestKind.STREAM, 2, 2006),
				route("b", RequestKind.STREAM, 1, 806), route("c", RequestKind.IDEMPOTENT, 0, 489)), List.of(), LIMITS,
				customers);
	}

	@Test
	void configurationWithoutCustomersHasNoRule() {
		assertThat(OverloadRule.byService(configuration(CustomerDirectory.empty()))).isEmpty();
	}

	@Test
	void configurationWithCustomersHasRulesForModelServices() {
		CustomerDirectory customers = CustomerDirectory.builder()
			.add(CustomerId.of("hule930"), List.of("key"), OptionalInt.empty(), CustomerQuota.UNLIMITED)
			.build();
		assertThat(OverloadRule.byService(configuration(customers))).containsOnlyKeys("model")
			.containsEntry("model", new OverloadRule(1, 806));
	}

	@Test
	void limitsTightenFromUrgentToLate() {
		OverloadRule rule = new OverloadRule(1, 800);
		assertThat(rule.limits(Standing.ON_TIME, 0)).isEqualTo(rule.limits(Standing.ON_TIME, 1));
		List<PlacementLimits> order = List.of(rule.limits(Standing.ON_TIME, 1), rule.limits(Standing.ON_TIME, 2),
				rule.limits(Standing.LATE, 1));
		for (int index = 1; index < order.size(); index++) {
			assertThat(order.get(index).maxFill()).isLessThan(order.get(index - 1).maxFill());
			assertThat(order.get(index).maxQueueMillis()).isLessThan(order.get(index - 1).maxQueueMillis());
			assertThat(order.get(index).minFreeShare()).isGreaterThan(order.get(index - 1).minFreeShare());
		}
	}

}
