package review2;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run. */
final class Recorder {

	private final long startNanos = System.nanoTime();

	private final PrintStream out;

	private Recorder(PrintStream out) {
		this.out = out;
	}

	static Recorder create(Path file) throws IOException {
		return new Recorder(new PrintStream(Files.newOutputStream(file), true));
	}

	synchronized void line(String text) {
		String line = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - this.startNanos) / 1e9, text);
		this.out.println(line);
		System.out.println(line);
	}

}
