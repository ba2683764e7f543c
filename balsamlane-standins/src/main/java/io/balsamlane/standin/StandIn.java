package io.balsamlane.standin;

import io.vertx.core.Future;

/**
 * An outside system in miniature that listens on loopback.
 */
public interface StandIn {

	/**
	 * Starts listening.
	 * @return the port, once requests are accepted
	 */
	Future<Integer> start();

	/**
	 * Stops listening and closes all connections.
	 * @return completes when the port is free again
	 */
	Future<Void> stop();

}
