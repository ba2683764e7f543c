package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.configuration.LabelExpression;
import io.balsamlane.schema.Caller;

/**
 * The selectors that lead to one model or service, indexed by the caller that they
 * require.
 */
final class TargetIndex {

	private final Map<String, List<Candidate>> byCaller = new HashMap<>();

	private final List<Candidate> forAllCallers = new ArrayList<>();

	/**
	 * Adds a selector that leads to live backend servers. Selectors are added in the
	 * order in which they are tried.
	 * @param order position of the selector
	 * @param callerCondition the part of its condition that concerns the caller
	 * @param route the route
	 */
	void add(int order, LabelExpression callerCondition, Route route) {
		Candidate candidate = new Candidate(order, callerCondition, route);
		callerCondition.required(Labels.CALLER)
			.ifPresentOrElse((names) -> names
				.forEach((name) -> this.byCaller.computeIfAbsent(name, (absent) -> new ArrayList<>()).add(candidate)),
					() -> this.forAllCallers.add(candidate));
	}

	Optional<Route> find(Caller caller) {
		List<Candidate> own = this.byCaller.getOrDefault(caller.getName(), List.of());
		if (own.isEmpty() && this.forAllCallers.isEmpty()) {
			return Optional.empty();
		}
		Map<String, String> labels = Labels.ofCaller(caller);
		Candidate first = first(own, labels, Integer.MAX_VALUE);
		Candidate general = first(this.forAllCallers, labels, (first != null) ? first.order() : Integer.MAX_VALUE);
		return Optional.ofNullable((general != null) ? general : first).map(Candidate::route);
	}

	private static Candidate first(List<Candidate> candidates, Map<String, String> labels, int beforeOrder) {
		for (Candidate candidate : candidates) {
			if (candidate.order() >= beforeOrder) {
				return null;
			}
			if (candidate.condition().matches(labels)) {
				return candidate;
			}
		}
		return null;
	}

	private record Candidate(int order, LabelExpression condition, Route route) {
	}

}
