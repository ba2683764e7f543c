package io.balsamlane.core.orders;

/**
 * Answer to an {@link OrderAction}.
 */
public sealed interface OrderEvent {

	/**
	 * Returns the number of the call that is answered.
	 * @return the number
	 */
	long call();

	/**
	 * The pool's key has no value.
	 *
	 * @param call number of the call
	 */
	record HolderAbsent(long call) implements OrderEvent {
	}

	/**
	 * The pool's key has a value.
	 *
	 * @param call number of the call
	 * @param holder the value
	 * @param version version of the value
	 */
	record HolderFound(long call, String holder, long version) implements OrderEvent {
	}

	/**
	 * The lease is granted.
	 *
	 * @param call number of the call
	 * @param lease the lease
	 */
	record LeaseGranted(long call, long lease) implements OrderEvent {
	}

	/**
	 * The lease is renewed.
	 *
	 * @param call number of the call
	 */
	record LeaseRenewed(long call) implements OrderEvent {
	}

	/**
	 * The store does not know the lease any more.
	 *
	 * @param call number of the call
	 */
	record LeaseGone(long call) implements OrderEvent {
	}

	/**
	 * The pool's key is written.
	 *
	 * @param call number of the call
	 * @param version version of the value, the fencing number of the holder
	 */
	record HolderWritten(long call, long version) implements OrderEvent {
	}

	/**
	 * The pool's key was not written, because it has a value already.
	 *
	 * @param call number of the call
	 */
	record HolderRefused(long call) implements OrderEvent {
	}

	/**
	 * The store gave no clear answer; a write or renewal may have taken effect.
	 *
	 * @param call number of the call
	 */
	record StoreFailed(long call) implements OrderEvent {
	}

	/**
	 * The engine reported its state.
	 *
	 * @param call number of the call
	 * @param state the state
	 */
	record EngineRead(long call, EngineState state) implements OrderEvent {
	}

	/**
	 * The engine's state cannot be read.
	 *
	 * @param call number of the call
	 */
	record EngineUnreadable(long call) implements OrderEvent {
	}

	/**
	 * The engine accepted the order.
	 *
	 * @param call number of the call
	 */
	record OrderAccepted(long call) implements OrderEvent {
	}

	/**
	 * The engine refused the order, because it has seen a higher fencing number.
	 *
	 * @param call number of the call
	 */
	record OrderStale(long call) implements OrderEvent {
	}

	/**
	 * The order was certainly not accepted: it was not sent, or refused.
	 *
	 * @param call number of the call
	 */
	record OrderNotTaken(long call) implements OrderEvent {
	}

	/**
	 * The order may have taken effect or may yet do so.
	 *
	 * @param call number of the call
	 */
	record OrderUndecided(long call) implements OrderEvent {
	}

}
