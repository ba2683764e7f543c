package io.balsamlane.core.routing;

import java.util.List;

import io.balsamlane.core.model.ServerName;

/**
 * Explanation of which targets a request, or any request admitted by a selector, may
 * reach and why the others are excluded.
 *
 * @param route the route of the request; {@link Route.None} when a selector is explained
 * @param selectors the verdicts on the selectors in evaluation order
 * @param targets the verdicts on the pools and services considered by the deciding
 * selector
 */
public record Explanation(Route route, List<SelectorVerdict> selectors, List<TargetVerdict> targets) {

	public Explanation {
		selectors = List.copyOf(selectors);
		targets = List.copyOf(targets);
	}

	/**
	 * Outcome of evaluating a selector for a request.
	 */
	public enum Decision {

		/** The selector admits the request and provides its route. */
		CHOSEN,

		/**
		 * The selector admits the request, but an earlier selector provides the route.
		 */
		LATER_IN_ORDER,

		/** The selector admits the request but reaches no live backend server for it. */
		NO_LIVE_TARGET,

		/** The labels of the request do not satisfy the selector's condition. */
		REQUEST_NOT_SELECTED

	}

	/**
	 * Verdict on one selector.
	 *
	 * @param selector name of the selector
	 * @param decision outcome of evaluating the selector
	 * @param failedTerms terms of the request condition that do not hold
	 */
	public record SelectorVerdict(String selector, Decision decision, List<String> failedTerms) {

		public SelectorVerdict {
			failedTerms = List.copyOf(failedTerms);
		}

	}

	/**
	 * Verdict of the deciding selector on a pool or service.
	 *
	 * @param kind {@code pool} or {@code service}
	 * @param name name of the target
	 * @param selector name of the deciding selector
	 * @param failedTerms terms of the target condition that do not hold; empty if the
	 * target is selected
	 * @param servers the verdicts on the backend servers of the target
	 */
	public record TargetVerdict(String kind, String name, String selector, List<String> failedTerms,
			List<ServerVerdict> servers) {

		public TargetVerdict {
			failedTerms = List.copyOf(failedTerms);
			servers = List.copyOf(servers);
		}

		/**
		 * Return whether at least one backend server of the target may be reached.
		 * @return {@code true} if at least one may be reached
		 */
		public boolean reachable() {
			return this.servers.stream().anyMatch(ServerVerdict::reachable);
		}

	}

	/**
	 * Verdict of the deciding selector on a backend server.
	 *
	 * @param server name of the server
	 * @param reachable whether the server may be reached
	 * @param reason the label or term that excludes the server; empty if it may be
	 * reached
	 */
	public record ServerVerdict(ServerName server, boolean reachable, String reason) {
	}

}
