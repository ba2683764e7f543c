package io.balsamlane.core.routing;

import java.util.List;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Selector;

/**
 * Route of a request: the backend servers that it may be sent to.
 */
public sealed interface Route {

	/**
	 * Route of a model request to engines, nearest place first.
	 *
	 * @param prefill prefill engines
	 * @param decode decode engines
	 * @param selector the selector that admits the request
	 */
	record ToEngines(List<BackendServer> prefill, List<BackendServer> decode, Selector selector) implements Route {
	}

	/**
	 * Route of a plain service call to replicas, nearest place first.
	 *
	 * @param replicas the replicas
	 * @param service the service
	 * @param selector the selector that admits the call
	 */
	record ToService(List<BackendServer> replicas, PlainService service, Selector selector) implements Route {
	}

	/**
	 * Absence of a route: no backend server may be reached.
	 *
	 * @param kind stable identifier of the reason
	 * @param message the reason and how to resolve it
	 */
	record None(String kind, String message) implements Route {
	}

}
