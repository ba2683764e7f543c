import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start, to record.txt. */
final class Record {

	private static final long START_NANOS = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	static double seconds() {
		return (System.nanoTime() - START_NANOS) / 1e9;
	}

	synchronized void line(String format, Object... values) {
		String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values);
		this.out.println(text);
	}

	/** Writes a line to the record and to standard output. */
	void say(String format, Object... values) {
		line(format, values);
		System.out.println(String.format(Locale.ROOT, format, values));
	}

}
