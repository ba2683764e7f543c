package io.balsamlane.router.orders;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.EngineOrder;
import io.vertx.core.Future;

/**
 * Client for the state and order API of engines. The returned futures never fail; errors
 * are part of their results.
 */
public interface EngineOrderClient {

	/**
	 * Read the state of an engine.
	 * @param engine address of the engine
	 * @return the result
	 */
	Future<StateAnswer> readState(Endpoint engine);

	/**
	 * Send an order to an engine, unless the deadline for sending it has passed.
	 * @param name name of the engine; no other engine may execute the order
	 * @param engine address of the engine
	 * @param order the order
	 * @param fencing fencing number of the lease holder
	 * @param notAfterNanos deadline for writing the request, as a value of
	 * {@link System#nanoTime()}, in nanoseconds
	 * @return the result
	 */
	Future<OrderAnswer> issue(ServerName name, Endpoint engine, EngineOrder order, long fencing, long notAfterNanos);

}
