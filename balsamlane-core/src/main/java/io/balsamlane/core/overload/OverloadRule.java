package io.balsamlane.core.overload;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.forwarding.ForwardingConfiguration;

/**
 * What the order of waiting requests of a service depends on. A service without a rule
 * uses {@link io.balsamlane.core.forwarding.PlacementQueue}.
 *
 * @param highestPriority lowest number among the priorities of the service's routes
 * @param urgentTargetMillis shortest target for the first event among these routes, in
 * milliseconds
 */
public record OverloadRule(int highestPriority, long urgentTargetMillis) {

	/**
	 * Return the limits within which a request may be placed.
	 * @param standing its standing
	 * @param priority its priority, 0 being the highest
	 * @return the limits
	 */
	public PlacementLimits limits(Standing standing, int priority) {
		return PlacementLimits.of(standing, priority - this.highestPriority, this.urgentTargetMillis);
	}

	/**
	 * Determine the rules of a configuration.
	 * @param configuration the configuration
	 * @return the rules by name of the service, empty if the configuration has no
	 * customers
	 */
	public static Map<String, OverloadRule> byService(ForwardingConfiguration configuration) {
		Map<String, OverloadRule> rules = new HashMap<>();
		if (!configuration.customers().isEmpty()) {
			configuration.routes()
				.stream()
				.filter((route) -> route.kind().streams())
				.forEach((route) -> route.targets()
					.forEach((target) -> rules.merge(target.service(),
							new OverloadRule(route.priority(), route.targetMillis()), OverloadRule::combine)));
		}
		return Map.copyOf(rules);
	}

	private OverloadRule combine(OverloadRule other) {
		return new OverloadRule(Math.min(this.highestPriority, other.highestPriority),
				Math.min(this.urgentTargetMillis, other.urgentTargetMillis));
	}

}
