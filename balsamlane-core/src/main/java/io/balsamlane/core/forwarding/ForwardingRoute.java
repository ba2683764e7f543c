package io.balsamlane.core.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * Maps requests to the services that run them, with the limits that apply to the
 * requests.
 *
 * @param name unique name of the route
 * @param host value of the Host header, without port
 * @param prefix path prefix, starting and ending with a slash
 * @param kind whether requests may be retried, and the form of the response
 * @param timeoutMillis time limit for the complete response, in milliseconds
 * @param targetMillis target time for the response or for the first event of a stream, in
 * milliseconds
 * @param priority priority of the requests, 0 being the highest
 * @param targets the services, at least one
 * @param maxAttempts maximum number of servers to which one request may be sent
 * @param pauseTargetMillis target for the longest pause between events of a stream, in
 * milliseconds, 0 if there is none
 * @param publicAccess whether requests need no API key where the configuration has
 * customers
 */
public record ForwardingRoute(String name, String host, String prefix, RequestKind kind, long timeoutMillis,
		long targetMillis, int priority, List<WeightedService> targets, int maxAttempts, long pauseTargetMillis,
		boolean publicAccess) {

	/**
	 * Minimum time for which callers of a stream wait for an event, as defined by the
	 * platform's protocol.
	 */
	private static final long MIN_EVENT_TIMEOUT_MILLIS = 2000;

	private static final long TARGETS_PER_EVENT_TIMEOUT = 4;

	private static final long PAUSES_PER_EVENT_TIMEOUT = 8;

	public ForwardingRoute {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(kind, "kind");
		targets = List.copyOf(targets);
		if (targets.isEmpty() || maxAttempts < 1 || timeoutMillis < 1) {
			throw new IllegalArgumentException(
					"Route " + name + " requires a service, at least one attempt and a timeout above 0");
		}
	}

	/**
	 * Create a route without public access.
	 * @param name unique name of the route
	 * @param host value of the Host header, without port
	 * @param prefix path prefix, starting and ending with a slash
	 * @param kind whether requests may be retried, and the form of the response
	 * @param timeoutMillis time limit for the complete response, in milliseconds
	 * @param targetMillis target time for the response or the first event, in
	 * milliseconds
	 * @param priority priority of the requests, 0 being the highest
	 * @param targets the services, at least one
	 * @param maxAttempts maximum number of servers to which one request may be sent
	 * @param pauseTargetMillis target for the longest pause between events, in
	 * milliseconds, 0 if there is none
	 */
	public ForwardingRoute(String name, String host, String prefix, RequestKind kind, long timeoutMillis,
			long targetMillis, int priority, List<WeightedService> targets, int maxAttempts, long pauseTargetMillis) {
		this(name, host, prefix, kind, timeoutMillis, targetMillis, priority, targets, maxAttempts, pauseTargetMillis,
				false);
	}

	/**
	 * Return the time without an event after which callers abort a stream.
	 * @return the time in milliseconds
	 */
	public long callerEventTimeoutMillis() {
		return Math.max(MIN_EVENT_TIMEOUT_MILLIS, Math.max(TARGETS_PER_EVENT_TIMEOUT * this.targetMillis,
				PAUSES_PER_EVENT_TIMEOUT * this.pauseTargetMillis));
	}

	/**
	 * Select a service by weight.
	 * @param point a number from 0 (inclusive) to 1 (exclusive), derived from the request
	 * @return name of the service
	 */
	public String service(double point) {
		long total = this.targets.stream().mapToLong(WeightedService::weight).sum();
		double left = point * total;
		for (WeightedService target : this.targets) {
			left -= target.weight();
			if (left < 0) {
				return target.service();
			}
		}
		return this.targets.get(this.targets.size() - 1).service();
	}

	/**
	 * A service with its weight in the distribution of the requests.
	 *
	 * @param service name of the service
	 * @param weight weight relative to the other services, not negative
	 */
	public record WeightedService(String service, int weight) {

		public WeightedService {
			Objects.requireNonNull(service, "service");
			if (weight < 0) {
				throw new IllegalArgumentException("Weight " + weight + " of service " + service + " is negative");
			}
		}

	}

}
