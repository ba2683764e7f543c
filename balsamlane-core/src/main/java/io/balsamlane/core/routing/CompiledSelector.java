package io.balsamlane.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.balsamlane.core.configuration.LabelExpression;
import io.balsamlane.core.model.Place;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.Selector;

/**
 * Selector whose label expressions have been parsed.
 *
 * @param selector the selector as configured
 * @param requests condition on the labels of a request
 * @param targetCondition the terms of that condition whose labels are determined by the
 * target and the entry router
 * @param callerCondition the terms of that condition whose labels are determined by the
 * caller
 * @param targets condition on the labels of a pool or service
 * @param places allowed places; empty if all are allowed
 */
record CompiledSelector(Selector selector, LabelExpression requests, LabelExpression targetCondition,
		LabelExpression callerCondition, LabelExpression targets, Set<String> places) {

	/**
	 * Compile the selectors of a configuration in evaluation order, that is by name.
	 * @param configuration the configuration
	 * @return the selectors sorted by name; a selector whose expressions cannot be parsed
	 * admits no request and is omitted
	 */
	static List<CompiledSelector> compileAll(Configuration configuration) {
		return configuration.getSelectorsList()
			.stream()
			.sorted(Comparator.comparing(Selector::getName))
			.flatMap((selector) -> compile(selector).stream())
			.toList();
	}

	private static Optional<CompiledSelector> compile(Selector selector) {
		try {
			LabelExpression requests = LabelExpression.parse(selector.getRequests());
			return Optional.of(new CompiledSelector(selector, requests,
					requests.restrictedTo(Labels.CALLER_INDEPENDENT_KEYS::contains),
					requests.restrictedTo((key) -> !Labels.CALLER_INDEPENDENT_KEYS.contains(key)),
					LabelExpression.parse(selector.getTargets()), Set.copyOf(selector.getPlacesList())));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	boolean allowsPlace(Place place) {
		return this.places.isEmpty() || this.places.contains(place.value());
	}

	boolean allowsRegion(String region, String entryRegion) {
		return this.selector.getCrossRegion() || region.equals(entryRegion);
	}

}
