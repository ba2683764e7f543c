package io.balsamlane.standin;

import io.vertx.core.Future;

/**
 * Simulated external system that listens on the loopback interface.
 */
public interface StandIn {

	/**
	 * Start listening.
	 * @return a future that completes with the port once requests are accepted
	 */
	Future<Integer> start();

	/**
	 * Stop listening and close all connections.
	 * @return a future that completes when the port has been released
	 */
	Future<Void> stop();

}
