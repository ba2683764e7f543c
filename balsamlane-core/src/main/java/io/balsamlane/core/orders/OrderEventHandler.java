package io.balsamlane.core.orders;

import java.util.List;

/**
 * Handles the outcomes of order actions.
 */
@FunctionalInterface
public interface OrderEventHandler {

	/**
	 * Handle the outcome of an action.
	 * @param event the outcome
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the actions to carry out next
	 */
	List<OrderAction> handle(OrderEvent event, long nowNanos);

}
