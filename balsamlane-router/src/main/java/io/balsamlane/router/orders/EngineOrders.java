package io.balsamlane.router.orders;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.EngineOrder;
import io.vertx.core.Future;

/**
 * The engines' interface for orders. Futures never fail; their results tell what
 * happened.
 */
public interface EngineOrders {

	/**
	 * Reads the state of an engine.
	 * @param engine address of the engine
	 * @return the outcome
	 */
	Future<StateAnswer> readState(Endpoint engine);

	/**
	 * Sends an order unless it is too late for it.
	 * @param name name of the engine, which alone may carry out the order
	 * @param engine address of the engine
	 * @param order the order
	 * @param fencing fencing number of the holder
	 * @param notAfterNanos last moment to write the request, as {@link System#nanoTime()}
	 * @return the outcome
	 */
	Future<OrderAnswer> issue(ServerName name, Endpoint engine, EngineOrder order, long fencing, long notAfterNanos);

}
