package io.balsamlane.core.orders;

/**
 * Outcome of an {@link OrderAction}.
 */
public sealed interface OrderEvent {

	/**
	 * Return the number of the call to which this event is the answer.
	 * @return the number
	 */
	long call();

	/**
	 * The pool's key is absent from the store.
	 *
	 * @param call unique number of the call
	 */
	record HolderAbsent(long call) implements OrderEvent {
	}

	/**
	 * The pool's key is present in the store.
	 *
	 * @param call unique number of the call
	 * @param holder value of the key, which identifies the lease holder
	 * @param version version of the value
	 */
	record HolderFound(long call, String holder, long version) implements OrderEvent {
	}

	/**
	 * The store granted a lease.
	 *
	 * @param call unique number of the call
	 * @param lease id of the lease
	 */
	record LeaseGranted(long call, long lease) implements OrderEvent {
	}

	/**
	 * The store renewed the lease.
	 *
	 * @param call unique number of the call
	 */
	record LeaseRenewed(long call) implements OrderEvent {
	}

	/**
	 * The lease does not exist in the store, because it expired or was revoked.
	 *
	 * @param call unique number of the call
	 */
	record LeaseNotFound(long call) implements OrderEvent {
	}

	/**
	 * The pool's key was written.
	 *
	 * @param call unique number of the call
	 * @param version version of the value, used as fencing number of the holder
	 */
	record HolderWritten(long call, long version) implements OrderEvent {
	}

	/**
	 * The pool's key was not written, because it already exists.
	 *
	 * @param call unique number of the call
	 */
	record HolderRefused(long call) implements OrderEvent {
	}

	/**
	 * The outcome of the call to the store is unknown. A write or renewal may have taken
	 * effect.
	 *
	 * @param call unique number of the call
	 */
	record StoreFailed(long call) implements OrderEvent {
	}

	/**
	 * The engine reported its state.
	 *
	 * @param call unique number of the call
	 * @param state the reported state
	 */
	record EngineRead(long call, EngineState state) implements OrderEvent {
	}

	/**
	 * The engine's state could not be read.
	 *
	 * @param call unique number of the call
	 */
	record EngineReadFailed(long call) implements OrderEvent {
	}

	/**
	 * The engine accepted the order.
	 *
	 * @param call unique number of the call
	 */
	record OrderAccepted(long call) implements OrderEvent {
	}

	/**
	 * The engine rejected the order, because it has seen a higher fencing number.
	 *
	 * @param call unique number of the call
	 */
	record OrderStale(long call) implements OrderEvent {
	}

	/**
	 * The order was definitely not accepted: it was not sent or the engine rejected it.
	 *
	 * @param call unique number of the call
	 */
	record OrderNotAccepted(long call) implements OrderEvent {
	}

	/**
	 * The outcome of the order is unknown. It may have taken effect or may still do so.
	 *
	 * @param call unique number of the call
	 */
	record OrderOutcomeUnknown(long call) implements OrderEvent {
	}

}
