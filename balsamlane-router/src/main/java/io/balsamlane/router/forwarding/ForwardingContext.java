package io.balsamlane.router.forwarding;

import io.balsamlane.router.http.ResponseMemory;
import io.vertx.core.Vertx;

/**
 * Components shared by all exchanges of a router.
 *
 * @param vertx the event loop
 * @param dialect conventions of the platform for requests and responses
 * @param state this router's view of the configuration and the servers
 * @param client client for backend servers
 * @param limits time and size limits
 * @param log receives each decision
 * @param metrics metrics of forwarding
 * @param waiting streams that wait for free capacity on engines
 * @param crashGuard detects requests that crash servers
 * @param reservations confirms free capacity on engines
 * @param responseMemory limits the memory of incomplete responses
 */
record ForwardingContext(Vertx vertx, ForwardingDialect dialect, ForwardingState state, ServerClient client,
		ForwardingLimits limits, DecisionLog log, ForwardingMetrics metrics, WaitingStreams waiting,
		CrashGuard crashGuard, EngineReservations reservations, ResponseMemory responseMemory) {
}
