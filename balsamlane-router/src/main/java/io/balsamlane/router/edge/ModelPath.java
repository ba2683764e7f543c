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
 * The parts that all model requests of a router share.
 *
 * @param context the event loop on which requests run
 * @param settings settings of the daemon
 * @param grants decides which engines run a request
 * @param engines access to engines
 * @param health which engines get new work, and quarantine
 * @param canceller cancels attempts until that is confirmed
 * @param carried attempts that this router carries
 * @param timeline receives events
 */
public record ModelPath(Context context, Settings settings, GrantService grants, EngineClient engines,
		EngineHealth health, EngineCanceller canceller, ActiveAttempts carried, Timeline timeline) {
}
