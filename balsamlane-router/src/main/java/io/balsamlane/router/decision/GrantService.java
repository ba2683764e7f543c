package io.balsamlane.router.decision;

import io.balsamlane.core.routing.Route;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.vertx.core.Future;

/**
 * Decides which engines run a model request. The returned futures never fail; a reply
 * without a grant states the kind of the refusal.
 */
public interface GrantService {

	/**
	 * Request a grant of a prefill engine and a decode engine.
	 * @param request the request to run
	 * @param route the engines that the request may reach
	 * @return completes with the grant or the refusal
	 */
	Future<GrantReply> request(GrantRequest request, Route.ToEngines route);

	/**
	 * Report progress of a grant, which ends with {@code RELEASED} or {@code FAILED}.
	 * @param update the progress
	 */
	void update(GrantUpdate update);

}
