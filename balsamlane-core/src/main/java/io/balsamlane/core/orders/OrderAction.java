package io.balsamlane.core.orders;

import io.balsamlane.core.model.ServerName;

/**
 * What the driver of a pool's orders has to do. Every action with a call number is
 * answered by exactly one {@link OrderEvent} with the same number.
 */
public sealed interface OrderAction {

	/**
	 * Read the pool's key in the platform store.
	 *
	 * @param call number of the call
	 */
	record ReadHolder(long call) implements OrderAction {
	}

	/**
	 * Ask the platform store for a lease.
	 *
	 * @param call number of the call
	 * @param leaseMillis life of the lease, in milliseconds
	 */
	record GrantLease(long call, long leaseMillis) implements OrderAction {
	}

	/**
	 * Write the pool's key under a lease if the key is absent.
	 *
	 * @param call number of the call
	 * @param lease the lease
	 * @param holder value to write, unique for each lease
	 */
	record WriteHolder(long call, long lease, String holder) implements OrderAction {
	}

	/**
	 * Renew a lease.
	 *
	 * @param call number of the call
	 * @param lease the lease
	 */
	record RenewLease(long call, long lease) implements OrderAction {
	}

	/**
	 * Revoke a lease; no answer is needed, because it lapses by itself.
	 *
	 * @param lease the lease
	 */
	record RevokeLease(long lease) implements OrderAction {
	}

	/**
	 * Read the state of an engine.
	 *
	 * @param call number of the call
	 * @param engine the engine
	 */
	record ReadEngine(long call, ServerName engine) implements OrderAction {
	}

	/**
	 * Send an order. The driver compares its clock with {@code notAfterNanos} immediately
	 * before it writes the request, and drops the order if that time has passed.
	 *
	 * @param call number of the call
	 * @param engine the engine
	 * @param order the order
	 * @param fencing fencing number of the holder
	 * @param notAfterNanos last moment to write the request
	 */
	record IssueOrder(long call, ServerName engine, EngineOrder order, long fencing,
			long notAfterNanos) implements OrderAction {
	}

}
