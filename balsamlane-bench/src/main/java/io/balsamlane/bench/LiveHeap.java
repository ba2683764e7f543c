package io.balsamlane.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reachable heap of another Java process, measured with the JDK's {@code jcmd}. Resident
 * memory alone says little, because the collector keeps memory that it has freed.
 */
final class LiveHeap {

	private static final Pattern TOTAL = Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)");

	private LiveHeap() {
	}

	/**
	 * Collects garbage in a process and counts what is left.
	 * @param pid process id
	 * @return the reachable heap, in bytes
	 */
	static long bytes(long pid) {
		try {
			Process tool = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
					Long.toString(pid), "GC.class_histogram")
				.redirectErrorStream(true)
				.start();
			String text = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			Matcher total = TOTAL.matcher(text);
			if (!total.find()) {
				throw new IllegalStateException("jcmd gave no class histogram of process " + pid + ": " + text);
			}
			return Long.parseLong(total.group(1));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
