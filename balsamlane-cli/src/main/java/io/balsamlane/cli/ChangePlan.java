package io.balsamlane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;

/**
 * What is to be sent so that the objects of a file come into force.
 *
 * @param objects the objects to change, with the revisions that the operator saw
 * @param difference the difference to the configuration in force, as lines of text
 * @param notes remarks for the operator
 */
record ChangePlan(List<ObjectChange> objects, List<String> difference, List<String> notes) {

	ChangePlan {
		objects = List.copyOf(objects);
		difference = List.copyOf(difference);
		notes = List.copyOf(notes);
	}

	/**
	 * Plans a change.
	 * @param current the configuration in force
	 * @param wanted the objects; an expected revision below 0 means the present one
	 * @return the plan
	 */
	static ChangePlan of(Configuration current, List<ObjectChange> wanted) {
		List<ObjectChange> objects = new ArrayList<>();
		List<String> difference = new ArrayList<>();
		List<String> notes = new ArrayList<>();
		for (ObjectChange object : wanted) {
			ObjectChange present = ConfigurationObjects.find(current, object.getKind(), object.getName())
				.orElse(ObjectChange.newBuilder().setKind(object.getKind()).setName(object.getName()).build());
			if (ObjectDifference.equal(present, object)) {
				continue;
			}
			if (untouched(current, present, object)) {
				notes.add("The " + ConfigurationObjects.title(object) + " is as you read it at revision "
						+ object.getExpectedRevision() + "; the newer revision " + present.getExpectedRevision()
						+ " stays");
				continue;
			}
			difference.addAll(ObjectDifference.lines(present, object));
			objects.add((object.getExpectedRevision() >= 0) ? object
					: object.toBuilder().setExpectedRevision(present.getExpectedRevision()).build());
		}
		return new ChangePlan(objects, difference, notes);
	}

	// A file of the whole configuration contains objects that its editor did not touch.
	// If another operator changed one of them since, it is no conflict.
	private static boolean untouched(Configuration current, ObjectChange present, ObjectChange object) {
		long seen = object.getExpectedRevision();
		if (seen <= 0 || seen >= present.getExpectedRevision()) {
			return false;
		}
		Optional<ObjectChange> read = ConfigurationObjects.atRevision(current, object, seen);
		return read.isPresent() && ObjectDifference.equal(read.get(), object);
	}

}
