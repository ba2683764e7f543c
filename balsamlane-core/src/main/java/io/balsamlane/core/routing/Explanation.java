package io.balsamlane.core.routing;

import java.util.List;

import io.balsamlane.core.model.ServerName;

/**
 * Why a request, or any request of a selector, may reach some targets and not others.
 *
 * @param route the route that the request takes; for a selector {@link Route.None}
 * @param selectors the selectors in the order in which they are tried
 * @param targets pools and services that were considered, for the selector that decides
 */
public record Explanation(Route route, List<SelectorVerdict> selectors, List<TargetVerdict> targets) {

	public Explanation {
		selectors = List.copyOf(selectors);
		targets = List.copyOf(targets);
	}

	/**
	 * What a selector says about a request.
	 */
	public enum Decision {

		/** The request takes the route of this selector. */
		CHOSEN,

		/** The selector admits the request, but an earlier one has a route for it. */
		LATER_IN_ORDER,

		/** The selector admits the request but reaches no live backend server for it. */
		NO_LIVE_TARGET,

		/** The labels of the request fail the selector's condition. */
		REQUEST_NOT_SELECTED

	}

	/**
	 * What one selector says.
	 *
	 * @param selector name of the selector
	 * @param decision the decision
	 * @param failedTerms terms over requests that fail
	 */
	public record SelectorVerdict(String selector, Decision decision, List<String> failedTerms) {

		public SelectorVerdict {
			failedTerms = List.copyOf(failedTerms);
		}

	}

	/**
	 * What the deciding selector says about a pool or a service.
	 *
	 * @param kind pool or service
	 * @param name name of the target
	 * @param selector the selector that decides
	 * @param failedTerms terms over targets that fail, empty if the target is selected
	 * @param servers its backend servers
	 */
	public record TargetVerdict(String kind, String name, String selector, List<String> failedTerms,
			List<ServerVerdict> servers) {

		public TargetVerdict {
			failedTerms = List.copyOf(failedTerms);
			servers = List.copyOf(servers);
		}

		/**
		 * Tells whether a backend server of the target may be reached.
		 * @return true if at least one may
		 */
		public boolean reachable() {
			return this.servers.stream().anyMatch(ServerVerdict::reachable);
		}

	}

	/**
	 * What the deciding selector says about a backend server.
	 *
	 * @param server name of the server
	 * @param reachable whether it may be reached
	 * @param reason the label or term that decides, empty if it may be reached
	 */
	public record ServerVerdict(ServerName server, boolean reachable, String reason) {
	}

}
