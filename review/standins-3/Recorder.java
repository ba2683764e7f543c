import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Recorder implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Recorder(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void line(String format, Object... arguments) {
		String text = String.format(Locale.ROOT, format, arguments);
		this.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
		this.out.flush();
	}

	/** Record a line and also print it. */
	void result(String format, Object... arguments) {
		line(format, arguments);
		System.out.println(String.format(Locale.ROOT, format, arguments));
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	@Override
	public void close() {
		this.out.close();
	}

}
