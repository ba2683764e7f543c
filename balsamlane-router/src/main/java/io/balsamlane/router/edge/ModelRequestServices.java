package io.balsamlane.router.edge;

import io.balsamlane.router.decision.GrantService;
import io.balsamlane.router.engine.ActiveAttempts;
import io.balsamlane.router.engine.EngineCanceller;
import io.balsamlane.router.engine.EngineClient;
import io.balsamlane.router.engine.EngineHealth;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Settings;
import io.vertx.core.Context;

/**
 * Components that all model requests of a router share.
 *
 * @param context the event loop on which requests run
 * @param settings settings of the daemon
 * @param grants decides which engines run a request
 * @param engines client for calls to engines
 * @param health tracks the availability of engines and quarantined requests
 * @param canceller cancels attempts, with retries until the engine confirms
 * @param activeAttempts attempts in progress on this router
 * @param timeline records events
 */
public record ModelRequestServices(Context context, Settings settings, GrantService grants, EngineClient engines,
		EngineHealth health, EngineCanceller canceller, ActiveAttempts activeAttempts, Timeline timeline) {
}
