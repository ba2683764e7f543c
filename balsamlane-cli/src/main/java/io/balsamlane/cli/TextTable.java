package io.balsamlane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Table whose columns are as wide as their widest cell.
 */
final class TextTable {

	private final List<List<String>> rows = new ArrayList<>();

	private TextTable() {
	}

	static TextTable of(String... titles) {
		TextTable table = new TextTable();
		table.row((Object[]) titles);
		return table;
	}

	void row(Object... cells) {
		this.rows.add(Stream.of(cells).map(String::valueOf).toList());
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < row.size(); column++) {
				int index = column;
				int width = this.rows.stream().mapToInt((other) -> other.get(index).length()).max().orElse(0);
				line.append(row.get(column)).append(" ".repeat(width - row.get(column).length() + 2));
			}
			text.append(line.toString().stripTrailing()).append('\n');
		}
		return text.toString();
	}

}
