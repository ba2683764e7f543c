package io.balsamlane.core.orders;

import java.util.List;

/**
 * Takes the answers to order actions.
 */
@FunctionalInterface
public interface OrderEventHandler {

	/**
	 * Takes the answer to an action.
	 * @param event the answer
	 * @param nowNanos the time
	 * @return the actions to carry out next
	 */
	List<OrderAction> handle(OrderEvent event, long nowNanos);

}
