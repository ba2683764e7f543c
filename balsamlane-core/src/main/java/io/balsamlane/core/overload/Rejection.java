package io.balsamlane.core.overload;

/**
 * A waiting request that is rejected without having run.
 *
 * @param <T> type of the requests
 * @param request the request
 * @param reason why it is rejected
 */
public record Rejection<T>(T request, Reason reason) {

	/**
	 * Why a waiting request is rejected.
	 */
	public enum Reason {

		/** It has waited until an answer is of no use to its caller. */
		EXPIRED,

		/** It will be late, and its customer exceeds its usual share of the load. */
		EXCESS,

		/** It will be late, and no late request has found capacity for some time. */
		NO_PROSPECT,

		/** The queue is full, and it is the last one in queue order. */
		QUEUE_FULL

	}

}
