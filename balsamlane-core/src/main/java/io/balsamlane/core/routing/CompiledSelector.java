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
 * A selector with its parsed expressions.
 *
 * @param selector the selector
 * @param requests condition over requests
 * @param targetCondition the part of that condition that target and entry router decide
 * @param callerCondition the part of that condition that the caller decides
 * @param targets condition over pools and services
 * @param places places that may be used, empty for all
 */
record CompiledSelector(Selector selector, LabelExpression requests, LabelExpression targetCondition,
		LabelExpression callerCondition, LabelExpression targets, Set<String> places) {

	/**
	 * Compiles the selectors of a configuration in the order in which they are tried.
	 * @param configuration the configuration
	 * @return the selectors by name; one whose expressions cannot be parsed admits
	 * nothing and is left out
	 */
	static List<CompiledSelector> all(Configuration configuration) {
		return configuration.getSelectorsList()
			.stream()
			.sorted(Comparator.comparing(Selector::getName))
			.flatMap((selector) -> of(selector).stream())
			.toList();
	}

	private static Optional<CompiledSelector> of(Selector selector) {
		try {
			LabelExpression requests = LabelExpression.of(selector.getRequests());
			return Optional.of(new CompiledSelector(selector, requests, requests.about(Labels.FIXED::contains),
					requests.about((key) -> !Labels.FIXED.contains(key)), LabelExpression.of(selector.getTargets()),
					Set.copyOf(selector.getPlacesList())));
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
