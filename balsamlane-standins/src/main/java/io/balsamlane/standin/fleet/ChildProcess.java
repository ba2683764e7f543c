package io.balsamlane.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A Java process that a test started, with its output in files.
 */
public final class ChildProcess {

	private static final Duration START_LIMIT = Duration.ofSeconds(30);

	private static final int POLL_MILLIS = 20;

	/**
	 * Keeps Logback from printing that the class path of a test has several
	 * configurations.
	 */
	private static final String QUIET_LOGBACK = "-Dlogback.statusListenerClass=ch.qos.logback.core.status.NopStatusListener";

	private final String name;

	private final Process process;

	private final Path output;

	private final Path errors;

	private ChildProcess(String name, Process process, Path output, Path errors) {
		this.name = name;
		this.process = process;
		this.output = output;
		this.errors = errors;
	}

	/**
	 * Starts a main class with the class path of this process.
	 * @param name name of the process, unique in its directory
	 * @param directory directory for its output
	 * @param jvmOptions options of the virtual machine
	 * @param mainClass main class
	 * @param args arguments
	 * @return the process
	 */
	public static ChildProcess start(String name, Path directory, List<String> jvmOptions, String mainClass,
			List<String> args) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.add(QUIET_LOGBACK);
		command.addAll(jvmOptions);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
		command.addAll(args);
		try {
			Path output = Files.createTempFile(directory, name + "-", ".out");
			Path errors = Files.createTempFile(directory, name + "-", ".err");
			Process process = new ProcessBuilder(command).redirectOutput(output.toFile())
				.redirectError(errors.toFile())
				.start();
			// A test or measurement that is interrupted leaves no processes behind.
			Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly, "stop-" + name));
			return new ChildProcess(name, process, output, errors);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Process " + name + " cannot be started", ex);
		}
	}

	/**
	 * Waits until the process prints a matching line.
	 * @param pattern pattern of the line
	 * @return the match
	 */
	public Matcher awaitLine(Pattern pattern) {
		long deadlineNanos = System.nanoTime() + START_LIMIT.toNanos();
		while (System.nanoTime() - deadlineNanos < 0) {
			Optional<Matcher> match = output().lines().map(pattern::matcher).filter(Matcher::find).findFirst();
			if (match.isPresent()) {
				return match.get();
			}
			if (!this.process.isAlive()) {
				break;
			}
			sleep();
		}
		throw new IllegalStateException(
				"Process " + this.name + " printed no line matching " + pattern + ":\n" + output() + errors());
	}

	private static void sleep() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted while waiting for a process", ex);
		}
	}

	/**
	 * Waits for the end of the process.
	 * @param limit longest wait
	 * @return the exit code
	 */
	public int awaitExit(Duration limit) {
		try {
			if (!this.process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException("Process " + this.name + " did not end within " + limit);
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted while waiting for a process", ex);
		}
	}

	/**
	 * Asks the process to stop (SIGTERM).
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Ends the process at once (SIGKILL) and waits for its end.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit(START_LIMIT);
	}

	/**
	 * Freezes the process (SIGSTOP).
	 */
	public void pause() {
		signal("-STOP");
	}

	/**
	 * Lets a frozen process go on (SIGCONT).
	 */
	public void resume() {
		signal("-CONT");
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", signal, Long.toString(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Tells whether the process runs.
	 * @return true until it has ended
	 */
	public boolean alive() {
		return this.process.isAlive();
	}

	/**
	 * Returns the process id.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns what the process has printed.
	 * @return its standard output
	 */
	public String output() {
		return read(this.output);
	}

	/**
	 * Returns what the process has logged.
	 * @return its standard error
	 */
	public String errors() {
		return read(this.errors);
	}

	private static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
