package io.balsamlane.core.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * A route: the requests that it selects, the services that run them, and their limits.
 *
 * @param name unique name
 * @param host value of the Host header, without port
 * @param prefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest time until the final answer, in milliseconds
 * @param targetMillis time within which an answer, or the first event of a stream, is on
 * time
 * @param priority rank of the requests, 0 being the highest
 * @param targets the services, at least one
 * @param maxAttempts most servers to which one request may be sent
 * @param pauseTargetMillis longest pause between events of a stream that is on time, 0 if
 * it has no such target
 */
public record ForwardingRoute(String name, String host, String prefix, RequestKind kind, long timeoutMillis,
		long targetMillis, int priority, List<WeightedService> targets, int maxAttempts, long pauseTargetMillis) {

	/** How long callers of a stream wait for an event, from the platform's protocol. */
	private static final long MIN_CALLER_PATIENCE_MILLIS = 2000;

	private static final long TARGETS_OF_PATIENCE = 4;

	private static final long PAUSES_OF_PATIENCE = 8;

	public ForwardingRoute {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(kind, "kind");
		targets = List.copyOf(targets);
		if (targets.isEmpty() || maxAttempts < 1 || timeoutMillis < 1) {
			throw new IllegalArgumentException(
					"Route " + name + " needs a service, at least one attempt and a timeout above 0");
		}
	}

	/**
	 * Returns the time without an event after which callers abandon a stream.
	 * @return the time in milliseconds
	 */
	public long callerPatienceMillis() {
		return Math.max(MIN_CALLER_PATIENCE_MILLIS,
				Math.max(TARGETS_OF_PATIENCE * this.targetMillis, PAUSES_OF_PATIENCE * this.pauseTargetMillis));
	}

	/**
	 * Selects a service by weight.
	 * @param point a number from 0 (inclusive) to 1 (exclusive) that stands for the
	 * request
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
	 * A service with its share of the requests.
	 *
	 * @param service name of the service
	 * @param weight its share in relation to the other weights, not negative
	 */
	public record WeightedService(String service, int weight) {

		public WeightedService {
			Objects.requireNonNull(service, "service");
			if (weight < 0) {
				throw new IllegalArgumentException("Weight " + weight + " of " + service + " is negative");
			}
		}

	}

}
