package io.balsamlane.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Objects;

import io.balsamlane.schema.Configuration;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.CommandLine;

/**
 * What a command works with.
 *
 * @param routers access to the routers
 * @param line the parsed command line
 * @param arguments arguments after the name of the command
 * @param out receives results
 */
record CommandContext(RouterClient routers, CommandLine line, List<String> arguments, PrintStream out) {

	CommandContext {
		Objects.requireNonNull(routers, "routers");
		Objects.requireNonNull(line, "line");
		Objects.requireNonNull(out, "out");
		arguments = List.copyOf(arguments);
	}

	String option(String name) {
		return this.line.getOptionValue(name, "");
	}

	long number(String name, long standard) {
		return number("--" + name, this.line.getOptionValue(name, Long.toString(standard)));
	}

	static long number(String what, String value) {
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw CommandException.usage(what + " is \"" + value + "\"; use a whole number");
		}
	}

	String format() {
		return this.line.getOptionValue("output", "text");
	}

	boolean json() {
		return format().equals("json");
	}

	void print(String text) {
		this.out.println(text);
	}

	/**
	 * Prints a line unless the output is JSON.
	 * @param text the line
	 */
	void note(String text) {
		if (!json()) {
			this.out.println(text);
		}
	}

	void printJson(JsonObject json) {
		this.out.println(json.encodePrettily());
	}

	Configuration configuration() {
		return this.routers.read("configuration", Configuration.newBuilder()).build();
	}

}
