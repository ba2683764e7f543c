package io.balsamlane.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.balsamlane.schema.ObjectChange;

/**
 * Difference between two states of an object, as lines of text.
 */
final class ObjectDifference {

	private ObjectDifference() {
	}

	static boolean equal(ObjectChange first, ObjectChange second) {
		return ConfigurationObjects.deleted(first) == ConfigurationObjects.deleted(second)
				&& ObjectFile.values(first).equals(ObjectFile.values(second));
	}

	/**
	 * Describes a difference.
	 * @param before the object before; without content if it did not exist
	 * @param after the object after; without content if it is deleted
	 * @return one line for the object and one for each value that differs
	 */
	static List<String> lines(ObjectChange before, ObjectChange after) {
		Map<String, String> old = ObjectFile.values(before);
		Map<String, String> wanted = ObjectFile.values(after);
		List<String> lines = new ArrayList<>();
		lines.add(sign(before, after) + " " + ConfigurationObjects.title(after));
		Set<String> keys = new LinkedHashSet<>(old.keySet());
		keys.addAll(wanted.keySet());
		keys.stream().filter((key) -> !String.valueOf(old.get(key)).equals(wanted.get(key))).forEach((key) -> {
			if (old.containsKey(key)) {
				lines.add("    - " + key + " = " + old.get(key));
			}
			if (wanted.containsKey(key)) {
				lines.add("    + " + key + " = " + wanted.get(key));
			}
		});
		return lines;
	}

	private static String sign(ObjectChange before, ObjectChange after) {
		if (ConfigurationObjects.deleted(before)) {
			return "+";
		}
		return ConfigurationObjects.deleted(after) ? "-" : "~";
	}

}
