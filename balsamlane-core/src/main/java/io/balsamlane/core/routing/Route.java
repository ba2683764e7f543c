package io.balsamlane.core.routing;

import java.util.List;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.Selector;

/**
 * Backend servers that a request may reach.
 */
public sealed interface Route {

	/**
	 * Engines for a model request, nearest place first.
	 *
	 * @param prefill prefill engines
	 * @param decode decode engines
	 * @param selector the selector that admits the request
	 */
	record ToEngines(List<BackendServer> prefill, List<BackendServer> decode, Selector selector) implements Route {
	}

	/**
	 * Replicas for a call of a plain service, nearest place first.
	 *
	 * @param replicas the replicas
	 * @param service the service
	 * @param selector the selector that admits the call
	 */
	record ToService(List<BackendServer> replicas, PlainService service, Selector selector) implements Route {
	}

	/**
	 * No backend server may be reached.
	 *
	 * @param kind stable kind of the reason
	 * @param message the reason and its remedy
	 */
	record None(String kind, String message) implements Route {
	}

}
