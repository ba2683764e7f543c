package io.balsamlane.router.metrics;

import io.balsamlane.core.routing.Route;
import io.balsamlane.router.decision.GrantService;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.vertx.core.Future;

/**
 * {@link GrantService} decorator that reports each decision to the metrics.
 */
public final class MeteredGrantService implements GrantService {

	private final GrantService grants;

	private final RouterMetrics metrics;

	private MeteredGrantService(GrantService grants, RouterMetrics metrics) {
		this.grants = grants;
		this.metrics = metrics;
	}

	/**
	 * Wrap the given grant service.
	 * @param grants the grant service to delegate to
	 * @param metrics the metrics that count the decisions
	 * @return the grant service that reports to the metrics
	 */
	public static GrantService of(GrantService grants, RouterMetrics metrics) {
		return new MeteredGrantService(grants, metrics);
	}

	@Override
	public Future<GrantReply> request(GrantRequest request, Route.ToEngines route) {
		if (request.getAttempt() > 1) {
			this.metrics.retried("attempt");
		}
		return this.grants.request(request, route)
			.onSuccess((reply) -> this.metrics.grantDecided(reply.getGranted() ? "granted" : reply.getRefusalKind()));
	}

	@Override
	public void update(GrantUpdate update) {
		this.grants.update(update);
	}

}
