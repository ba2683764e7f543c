package io.balsamlane.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;

/**
 * Objects of a configuration in one common form: an {@link ObjectChange} whose expected
 * revision is the revision that the object has.
 */
final class ConfigurationObjects {

	private ConfigurationObjects() {
	}

	static List<ObjectChange> all(Configuration configuration) {
		List<ObjectChange> all = new ArrayList<>();
		configuration.getPoolsList()
			.forEach((pool) -> all
				.add(object(ObjectKind.POOL, pool.getName(), pool.getChangedRevision()).setPool(pool).build()));
		configuration.getServicesList()
			.forEach((service) -> all
				.add(object(ObjectKind.SERVICE, service.getName(), service.getChangedRevision()).setService(service)
					.build()));
		configuration.getSelectorsList()
			.forEach((selector) -> all.add(
					object(ObjectKind.SELECTOR, selector.getName(), selector.getChangedRevision()).setSelector(selector)
						.build()));
		configuration.getCallersList()
			.forEach((caller) -> all
				.add(object(ObjectKind.CALLER, caller.getName(), caller.getChangedRevision()).setCaller(caller)
					.build()));
		all.sort(Comparator.comparing(ObjectChange::getKind).thenComparing(ObjectChange::getName));
		return all;
	}

	private static ObjectChange.Builder object(ObjectKind kind, String name, long revision) {
		return ObjectChange.newBuilder().setKind(kind).setName(name).setExpectedRevision(revision);
	}

	static Optional<ObjectChange> find(Configuration configuration, ObjectKind kind, String name) {
		return all(configuration).stream()
			.filter((object) -> object.getKind() == kind && object.getName().equals(name))
			.findFirst();
	}

	/**
	 * Finds an object as a change left it.
	 * @param configuration the configuration with its newest changes
	 * @param object kind and name
	 * @param revision revision of the change
	 * @return the object, empty if the change is not kept any more
	 */
	static Optional<ObjectChange> atRevision(Configuration configuration, ObjectChange object, long revision) {
		return changesOf(configuration, object).stream()
			.filter((change) -> change.getRevision() == revision)
			.flatMap((change) -> change.getObjectsList().stream())
			.filter((candidate) -> same(candidate, object))
			.findFirst();
	}

	static List<Change> changesOf(Configuration configuration, ObjectChange object) {
		return configuration.getChangesList()
			.stream()
			.filter((change) -> change.getObjectsList().stream().anyMatch((candidate) -> same(candidate, object)))
			.toList();
	}

	static boolean same(ObjectChange first, ObjectChange second) {
		return first.getKind() == second.getKind() && first.getName().equals(second.getName());
	}

	static boolean deleted(ObjectChange object) {
		return object.getObjectCase() == ObjectChange.ObjectCase.OBJECT_NOT_SET;
	}

	static String title(ObjectChange object) {
		return object.getKind().name().toLowerCase(Locale.ROOT) + " " + object.getName();
	}

	static ObjectKind kind(String word) {
		return switch (word.toLowerCase(Locale.ROOT)) {
			case "pool", "pools" -> ObjectKind.POOL;
			case "service", "services" -> ObjectKind.SERVICE;
			case "selector", "selectors" -> ObjectKind.SELECTOR;
			case "caller", "callers" -> ObjectKind.CALLER;
			default -> throw CommandException
				.usage("\"" + word + "\" is not a kind of object; use pool, service, selector or caller");
		};
	}

}
