package io.balsamlane.standin.engine;

import java.util.Map;

/**
 * How an engine stand-in behaves towards its surroundings.
 *
 * @param checksFencing whether orders with a stale fencing number are rejected
 * @param orderMillis time until an order takes effect, in milliseconds
 * @param reportGapShare share of the load reports and cache events that are lost, 0 to 1
 * @param oneWayMillis one-way delay to other hosts by name, in milliseconds; routers are
 * known by the start of the attempt, engines by the header {@code X-Engine}
 * @param seed seed of the losses
 */
public record EngineBehaviour(boolean checksFencing, int orderMillis, double reportGapShare,
		Map<String, Integer> oneWayMillis, long seed) {

	/**
	 * Copies the delays.
	 */
	public EngineBehaviour {
		oneWayMillis = Map.copyOf(oneWayMillis);
	}

	/**
	 * Returns the behaviour of the demo: fencing checked, no losses and no delays.
	 * @return the default behaviour
	 */
	public static EngineBehaviour ofDefaults() {
		return new EngineBehaviour(true, 0, 0, Map.of(), 1);
	}

	/**
	 * Returns the one-way delay to the router that made an attempt.
	 * @param attempt id of the attempt, which starts with the router's host name
	 * @return the delay, in milliseconds
	 */
	int delayToRouter(String attempt) {
		return this.oneWayMillis.entrySet()
			.stream()
			.filter((entry) -> attempt.startsWith(entry.getKey() + "-"))
			.mapToInt(Map.Entry::getValue)
			.findFirst()
			.orElse(0);
	}

	int delayToEngine(String name) {
		return this.oneWayMillis.getOrDefault(name, 0);
	}

}
