package io.balsamlane.router.service;

import io.balsamlane.core.routing.Route;
import io.vertx.core.http.HttpServerRequest;

/**
 * Call of a plain service.
 *
 * @param request the caller's request
 * @param requestId id of the request
 * @param caller name of the caller, empty for an anonymous one
 * @param route the replicas that the call may reach
 * @param uri path and query at the service
 * @param body body of the request
 */
record ServiceCall(HttpServerRequest request, String requestId, String caller, Route.ToService route, String uri,
		CallBody body) {

	String service() {
		return this.route.service().getName();
	}

}
