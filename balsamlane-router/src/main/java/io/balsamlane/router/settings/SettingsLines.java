package io.balsamlane.router.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Index of the line numbers of sections and keys in an INI file, which the INI library
 * does not report.
 */
final class SettingsLines {

	private final Map<String, List<Integer>> keys = new LinkedHashMap<>();

	private final Map<String, Integer> sections = new LinkedHashMap<>();

	private final List<Line> invalidLines = new ArrayList<>();

	private SettingsLines() {
	}

	static SettingsLines of(String text) {
		SettingsLines lines = new SettingsLines();
		String section = "";
		String[] all = text.split("\n", -1);
		for (int index = 0; index < all.length; index++) {
			String line = all[index].trim();
			if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
				continue;
			}
			if (line.startsWith("[") && line.indexOf(']') > 0) {
				section = line.substring(1, line.indexOf(']')).trim();
				lines.sections.putIfAbsent(section, index + 1);
			}
			else if (section.isEmpty() || !line.contains("=")) {
				lines.invalidLines.add(new Line(index + 1, line));
			}
			else {
				String key = section + "." + line.substring(0, line.indexOf('=')).trim();
				lines.keys.computeIfAbsent(key, (added) -> new ArrayList<>()).add(index + 1);
			}
		}
		return lines;
	}

	/**
	 * Return the lines that set a key.
	 * @param section the section name
	 * @param key the key without its section
	 * @return the line numbers, starting at 1, empty if the key is not set
	 */
	List<Integer> linesOf(String section, String key) {
		return this.keys.getOrDefault(section + "." + key, List.of());
	}

	/**
	 * Return the line number to report in an error about a key.
	 * @param key the section and key, separated by a dot
	 * @return the first line that sets the key, otherwise the line of its section, or 0
	 * if neither is present
	 */
	int lineOf(String key) {
		return this.keys.containsKey(key) ? this.keys.get(key).get(0)
				: this.sections.getOrDefault(key.substring(0, Math.max(0, key.indexOf('.'))), 0);
	}

	Stream<String> keys(String section) {
		return this.keys.keySet()
			.stream()
			.filter((key) -> key.startsWith(section + "."))
			.map((key) -> key.substring(section.length() + 1));
	}

	Stream<Line> sections() {
		return this.sections.entrySet().stream().map((entry) -> new Line(entry.getValue(), entry.getKey()));
	}

	List<Line> invalidLines() {
		return this.invalidLines;
	}

	/**
	 * A line of the file.
	 *
	 * @param number the line number, starting at 1
	 * @param text the trimmed line, or the name of the section
	 */
	record Line(int number, String text) {
	}

}
