package io.balsamlane.core.orders;

import io.balsamlane.core.model.ServerName;

/**
 * Action that the driver of a pool's orders has to carry out. Every action with a call
 * number is answered by exactly one {@link OrderEvent} with the same number.
 */
public sealed interface OrderAction {

	/**
	 * Read the pool's key in the platform store.
	 *
	 * @param call unique number of the call
	 */
	record ReadHolder(long call) implements OrderAction {
	}

	/**
	 * Request a lease from the platform store.
	 *
	 * @param call unique number of the call
	 * @param leaseMillis time to live of the lease, in milliseconds
	 */
	record GrantLease(long call, long leaseMillis) implements OrderAction {
	}

	/**
	 * Write the pool's key under a lease if the key is absent.
	 *
	 * @param call unique number of the call
	 * @param lease id of the lease
	 * @param holder value to write, unique to the lease
	 */
	record WriteHolder(long call, long lease, String holder) implements OrderAction {
	}

	/**
	 * Renew a lease.
	 *
	 * @param call unique number of the call
	 * @param lease id of the lease
	 */
	record RenewLease(long call, long lease) implements OrderAction {
	}

	/**
	 * Revoke a lease. No answer is expected, because the lease also expires by itself.
	 *
	 * @param lease id of the lease
	 */
	record RevokeLease(long lease) implements OrderAction {
	}

	/**
	 * Read the state of an engine.
	 *
	 * @param call unique number of the call
	 * @param engine name of the engine
	 */
	record ReadEngine(long call, ServerName engine) implements OrderAction {
	}

	/**
	 * Send an order. Immediately before the driver writes the request, it compares its
	 * clock with {@code notAfterNanos} and discards the order if that time has passed.
	 *
	 * @param call unique number of the call
	 * @param engine name of the engine
	 * @param order the order
	 * @param fencing fencing number of the holder
	 * @param notAfterNanos latest time at which the request may be written, in
	 * nanoseconds
	 */
	record IssueOrder(long call, ServerName engine, EngineOrder order, long fencing,
			long notAfterNanos) implements OrderAction {
	}

}
