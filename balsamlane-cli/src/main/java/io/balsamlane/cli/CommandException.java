package io.balsamlane.cli;

/**
 * A command cannot be completed; the message names the remedy.
 */
final class CommandException extends RuntimeException {

	private final ExitCode exitCode;

	private CommandException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	static CommandException usage(String message) {
		return new CommandException(ExitCode.USAGE, message);
	}

	static CommandException refused(String message) {
		return new CommandException(ExitCode.REFUSED, message);
	}

	static CommandException unreachable(String message) {
		return new CommandException(ExitCode.UNREACHABLE, message);
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

}
