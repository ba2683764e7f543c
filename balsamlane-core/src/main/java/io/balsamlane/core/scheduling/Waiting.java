package io.balsamlane.core.scheduling;

import io.balsamlane.schema.GrantRequest;

/**
 * A request that waits for its grant.
 */
final class Waiting {

	final String key;

	final GrantRequest request;

	final CallerState caller;

	final long deadlineNanos;

	/** Time for which the request occupies the domain's scarcer resource. */
	final double costNanos;

	long askedNanos;

	/** Shortest time to the first token, without waiting. */
	long serviceNanos;

	int bypasses;

	/** Number of the last pass over the queue that tried to place it. */
	long triedPass;

	Waiting(String key, GrantRequest request, CallerState caller, long deadlineNanos, double costNanos, long nowNanos) {
		this.key = key;
		this.request = request;
		this.caller = caller;
		this.deadlineNanos = deadlineNanos;
		this.costNanos = costNanos;
		this.askedNanos = nowNanos;
	}

}
