package io.balsamlane.router.forwarding;

import io.vertx.core.Vertx;

/**
 * What all requests share.
 *
 * @param vertx the event loop
 * @param dialect marks of requests and answers
 * @param state what this router believes
 * @param client connections to servers
 * @param limits times and sizes
 * @param log receives each decision
 * @param metrics counters and times
 * @param waiting streams that wait for room on engines
 * @param crashes finds requests that crash servers
 * @param reservations confirms room on engines in a large fleet
 */
record ForwardingParts(Vertx vertx, ForwardingDialect dialect, ForwardingState state, ServerClient client,
		ForwardingLimits limits, DecisionLog log, ForwardingMetrics metrics, WaitingStreams waiting, CrashGuard crashes,
		EngineReservations reservations) {
}
