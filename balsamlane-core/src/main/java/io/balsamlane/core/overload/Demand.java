package io.balsamlane.core.overload;

import java.util.Objects;
import java.util.Optional;

import io.balsamlane.core.model.CustomerId;

/**
 * What a waiting request needs and until when an answer is of use to its caller. All
 * times are on a monotonic clock, in nanoseconds.
 *
 * @param customer the customer that sent the request, empty if it is unknown
 * @param priority priority of the request, 0 being the highest
 * @param tokens number of KV cache tokens that the request holds on an engine
 * @param arrivedNanos time of its arrival
 * @param onTimeUntilNanos latest placement time at which its first event can be on time
 * @param rejectAtNanos time at which it is rejected
 */
public record Demand(Optional<CustomerId> customer, int priority, long tokens, long arrivedNanos, long onTimeUntilNanos,
		long rejectAtNanos) {

	public Demand {
		Objects.requireNonNull(customer, "customer");
		if (tokens < 0) {
			throw new IllegalArgumentException("Number of tokens " + tokens + " is negative");
		}
	}

	/**
	 * Return whether the first event can still be on time.
	 * @param nowNanos the present time
	 * @return false if the request will be late
	 */
	public boolean onTime(long nowNanos) {
		return nowNanos - this.onTimeUntilNanos < 0;
	}

}
