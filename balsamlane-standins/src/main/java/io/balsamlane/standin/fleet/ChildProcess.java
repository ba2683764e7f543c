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
 * Java process started by a test or measurement, with its output redirected to files.
 */
public final class ChildProcess {

	private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

	private static final int POLL_MILLIS = 20;

	/**
	 * Suppresses the Logback status message about multiple configuration files on the
	 * class path of a test.
	 */
	private static final String SUPPRESS_LOGBACK_STATUS = "-Dlogback.statusListenerClass=ch.qos.logback.core.status.NopStatusListener";

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
	 * Start a main class with the class path of the current process.
	 * @param name name of the process, unique in its directory
	 * @param directory directory for the output files
	 * @param jvmOptions options of the JVM
	 * @param mainClass fully qualified name of the main class
	 * @param args program arguments
	 * @return the process
	 */
	public static ChildProcess start(String name, Path directory, List<String> jvmOptions, String mainClass,
			List<String> args) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.add(SUPPRESS_LOGBACK_STATUS);
		command.addAll(jvmOptions);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
		command.addAll(args);
		try {
			Path output = Files.createTempFile(directory, name + "-", ".out");
			Path errors = Files.createTempFile(directory, name + "-", ".err");
			Process process = new ProcessBuilder(command).redirectOutput(output.toFile())
				.redirectError(errors.toFile())
				.start();
			// Interrupted tests and measurements must not leave processes running.
			Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly, "stop-" + name));
			return new ChildProcess(name, process, output, errors);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Process " + name + " failed to start", ex);
		}
	}

	/**
	 * Wait until the process prints a line that matches.
	 * @param pattern pattern to search for in each line
	 * @return the match
	 */
	public Matcher awaitLine(Pattern pattern) {
		long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
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
	 * Wait for the process to exit.
	 * @param limit maximum time to wait
	 * @return the exit code
	 */
	public int awaitExit(Duration limit) {
		try {
			if (!this.process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException("Process " + this.name + " did not exit within " + limit);
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Interrupted while waiting for a process", ex);
		}
	}

	/**
	 * Request the process to terminate (SIGTERM).
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Kill the process (SIGKILL) and wait for it to exit.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit(START_TIMEOUT);
	}

	/**
	 * Suspend the process (SIGSTOP).
	 */
	public void pause() {
		signal("-STOP");
	}

	/**
	 * Resume a suspended process (SIGCONT).
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
	 * Return whether the process is running.
	 * @return true until the process has exited
	 */
	public boolean alive() {
		return this.process.isAlive();
	}

	/**
	 * Return the process id.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Return the standard output of the process so far.
	 * @return the standard output
	 */
	public String output() {
		return read(this.output);
	}

	/**
	 * Return the standard error of the process so far.
	 * @return the standard error
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
