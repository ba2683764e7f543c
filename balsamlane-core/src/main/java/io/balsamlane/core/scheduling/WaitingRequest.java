package io.balsamlane.core.scheduling;

import io.balsamlane.schema.GrantRequest;

/**
 * Queued request that waits for a grant.
 */
final class WaitingRequest {

	final String key;

	final GrantRequest request;

	final CallerState caller;

	final long deadlineNanos;

	/** Time for which the request occupies the scarcer resource of the domain. */
	final double costNanos;

	long lastPolledNanos;

	/** Shortest time to first token without queueing. */
	long serviceNanos;

	int bypasses;

	/** Number of the last pass over the queue that tried to place the request. */
	long lastPass;

	WaitingRequest(String key, GrantRequest request, CallerState caller, long deadlineNanos, double costNanos,
			long nowNanos) {
		this.key = key;
		this.request = request;
		this.caller = caller;
		this.deadlineNanos = deadlineNanos;
		this.costNanos = costNanos;
		this.lastPolledNanos = nowNanos;
	}

}
