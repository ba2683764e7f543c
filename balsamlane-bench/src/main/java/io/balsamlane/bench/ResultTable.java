package io.balsamlane.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Rows of figures, written as CSV with the command, seed, machine size and date in its
 * header and printed as they come.
 */
final class ResultTable {

	private static final long BYTES_PER_GIB = 1L << 30;

	private final List<String> lines = new ArrayList<>();

	private final Path file;

	private ResultTable(Path file) {
		this.file = file;
	}

	/**
	 * Creates a table.
	 * @param options options of the run
	 * @param columns names of the columns
	 * @return the table
	 */
	static ResultTable create(MeasureOptions options, String... columns) {
		ResultTable table = new ResultTable(options.file(".csv"));
		table.lines.add("# command: " + options.command());
		table.lines.add("# seed: " + options.seed());
		table.lines.add("# machine: " + Runtime.getRuntime().availableProcessors() + " cores, " + memoryGib() + " GiB");
		table.lines.add("# date: " + Instant.now().truncatedTo(ChronoUnit.SECONDS));
		table.print(String.join(",", columns));
		return table;
	}

	private static long memoryGib() {
		java.lang.management.OperatingSystemMXBean system = java.lang.management.ManagementFactory
			.getOperatingSystemMXBean();
		return (system instanceof com.sun.management.OperatingSystemMXBean full)
				? full.getTotalMemorySize() / BYTES_PER_GIB : 0;
	}

	/**
	 * Adds a row and writes the file, so that an aborted run keeps its rows.
	 * @param cells the cells; fractions are written with three digits
	 */
	void row(Object... cells) {
		print(Arrays.stream(cells).map(ResultTable::format).collect(Collectors.joining(",")));
		try {
			Files.write(this.file, this.lines);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void print(String line) {
		this.lines.add(line);
		System.out.println(line);
	}

	private static String format(Object cell) {
		String text = (cell instanceof Double) ? String.format(Locale.ROOT, "%.3f", cell) : String.valueOf(cell);
		return Stream.of(",", "\"", "\n").anyMatch(text::contains) ? '"' + text.replace("\"", "\"\"") + '"' : text;
	}

}
