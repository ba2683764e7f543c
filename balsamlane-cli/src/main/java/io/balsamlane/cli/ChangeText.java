package io.balsamlane.cli;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

import io.balsamlane.schema.Change;
import io.balsamlane.schema.ObjectChange;

/**
 * Describes an accepted change.
 */
final class ChangeText {

	private ChangeText() {
	}

	static String title(Change change) {
		return "revision " + change.getRevision() + "  " + time(change.getAcceptedEpochMillis()) + "  "
				+ (change.getAuthor().isEmpty() ? "unknown author" : change.getAuthor());
	}

	static String time(long epochMillis) {
		return Instant.ofEpochMilli(epochMillis).truncatedTo(ChronoUnit.SECONDS).toString();
	}

	/**
	 * Describes what a change did to one object.
	 * @param change the change
	 * @param object kind and name of the object
	 * @return lines of text
	 */
	static List<String> lines(Change change, ObjectChange object) {
		List<String> lines = new ArrayList<>();
		lines.add(title(change));
		for (int index = 0; index < change.getObjectsCount(); index++) {
			ObjectChange changed = change.getObjects(index);
			if (ConfigurationObjects.same(changed, object)) {
				lines.addAll(ObjectDifference.lines(previous(change, changed), changed));
			}
		}
		return lines;
	}

	static List<String> lines(Change change) {
		List<String> lines = new ArrayList<>();
		change.getObjectsList()
			.forEach((object) -> lines.addAll(ObjectDifference.lines(previous(change, object), object)));
		return lines;
	}

	static ObjectChange previous(Change change, ObjectChange object) {
		return change.getPreviousList()
			.stream()
			.filter((candidate) -> ConfigurationObjects.same(candidate, object))
			.findFirst()
			.orElse(ObjectChange.newBuilder().setKind(object.getKind()).setName(object.getName()).build());
	}

}
