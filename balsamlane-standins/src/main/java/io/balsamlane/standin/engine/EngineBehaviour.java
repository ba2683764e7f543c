package io.balsamlane.standin.engine;

import java.util.Map;

/**
 * Fencing, latency and report loss settings of an engine stand-in.
 *
 * @param checksFencing whether orders with a stale fencing number are rejected
 * @param orderMillis time until an order takes effect, in milliseconds
 * @param reportGapShare share of load reports and cache events that are dropped, 0 to 1
 * @param oneWayMillis one-way network delay to other hosts by name, in milliseconds;
 * routers are identified by the prefix of the attempt id, engines by the header
 * {@code X-Engine}
 * @param seed seed of the random number generator that selects the dropped reports
 */
public record EngineBehaviour(boolean checksFencing, int orderMillis, double reportGapShare,
		Map<String, Integer> oneWayMillis, long seed) {

	/**
	 * Create a behaviour with an immutable copy of the delays.
	 */
	public EngineBehaviour {
		oneWayMillis = Map.copyOf(oneWayMillis);
	}

	/**
	 * Return the behaviour used by the demo: fencing checked, no losses and no delays.
	 * @return the default behaviour
	 */
	public static EngineBehaviour ofDefaults() {
		return new EngineBehaviour(true, 0, 0, Map.of(), 1);
	}

	/**
	 * Return the one-way network delay to the router that made an attempt.
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
