package io.balsamlane.router.decision;

import io.balsamlane.core.routing.Route;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import io.vertx.core.Future;

/**
 * Decides which engines run a model request. Futures never fail; a reply without grant
 * names its kind.
 */
public interface GrantService {

	/**
	 * Asks for a prefill and a decode engine.
	 * @param request what is to run
	 * @param route the engines that may be reached
	 * @return the grant or the refusal
	 */
	Future<GrantReply> request(GrantRequest request, Route.ToEngines route);

	/**
	 * Tells how a grant goes on; a grant ends with {@code RELEASED} or {@code FAILED}.
	 * @param update the news
	 */
	void update(GrantUpdate update);

}
