package io.balsamlane.cli;

import org.apache.commons.cli.Options;

/**
 * One command of the tool.
 */
interface Command {

	/**
	 * Returns the word that selects the command.
	 * @return the name
	 */
	String name();

	/**
	 * Returns what the command does, in one line.
	 * @return the summary
	 */
	String summary();

	/**
	 * Returns the arguments after the name.
	 * @return the arguments, empty if there are none
	 */
	default String arguments() {
		return "";
	}

	/**
	 * Returns the options of this command beyond those of all commands.
	 * @return the options
	 */
	default Options options() {
		return new Options();
	}

	/**
	 * Returns an example of arguments and options.
	 * @return the example, without the name of the tool
	 */
	String example();

	/**
	 * Runs the command.
	 * @param context arguments, output and routers
	 * @return the exit code
	 * @throws CommandException if the command cannot be completed
	 */
	ExitCode run(CommandContext context);

}
