package io.balsamlane.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.balsamlane.core.configuration.LabelExpression;
import io.balsamlane.schema.Caller;

/**
 * Index of the selectors that lead to one model or service, keyed by the caller that they
 * require.
 */
final class TargetIndex {

	private final Map<String, List<Candidate>> byCaller = new HashMap<>();

	private final List<Candidate> unrestrictedCandidates = new ArrayList<>();

	/**
	 * Add a selector that leads to live backend servers. Selectors must be added in
	 * evaluation order.
	 * @param order position of the selector in evaluation order
	 * @param callerCondition the terms of its request condition that depend on the caller
	 * @param route the route that the selector provides
	 */
	void add(int order, LabelExpression callerCondition, Route route) {
		Candidate candidate = new Candidate(order, callerCondition, route);
		callerCondition.requiredValues(Labels.CALLER)
			.ifPresentOrElse((names) -> names.forEach(
					(name) -> this.byCaller.computeIfAbsent(name, (missingName) -> new ArrayList<>()).add(candidate)),
					() -> this.unrestrictedCandidates.add(candidate));
	}

	Optional<Route> find(Caller caller) {
		List<Candidate> callerCandidates = this.byCaller.getOrDefault(caller.getName(), List.of());
		if (callerCandidates.isEmpty() && this.unrestrictedCandidates.isEmpty()) {
			return Optional.empty();
		}
		Map<String, String> labels = Labels.ofCaller(caller);
		Candidate callerMatch = firstMatch(callerCandidates, labels, Integer.MAX_VALUE);
		Candidate generalMatch = firstMatch(this.unrestrictedCandidates, labels,
				(callerMatch != null) ? callerMatch.order() : Integer.MAX_VALUE);
		return Optional.ofNullable((generalMatch != null) ? generalMatch : callerMatch).map(Candidate::route);
	}

	private static Candidate firstMatch(List<Candidate> candidates, Map<String, String> labels, int beforeOrder) {
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
