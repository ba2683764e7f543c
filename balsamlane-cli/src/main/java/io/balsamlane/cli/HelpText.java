package io.balsamlane.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Help of the tool and of each command.
 */
final class HelpText {

	private static final int OPTION_WIDTH = 24;

	private HelpText() {
	}

	static String of(List<Command> commands) {
		StringWriter text = new StringWriter();
		PrintWriter writer = new PrintWriter(text);
		writer.print("usage: balsamlanectl COMMAND [options]\n\nCommands:\n");
		commands.forEach((command) -> writer.printf("  %-9s %s%n", command.name(), command.summary()));
		writer.print("\nOptions of all commands:\n" + options(globalOptions()));
		writer.print("\nBALSAMLANE_SERVER and BALSAMLANE_KEY hold the values of --server and --key.\n");
		writer.print("Help of a command: balsamlanectl COMMAND --help\n\n" + exitCodes());
		writer.print("Example: balsamlanectl --server http://127.0.0.1:8081 status\n");
		return text.toString();
	}

	static String of(Command command) {
		String usage = Stream.of("usage: balsamlanectl", command.name(), command.arguments(), "[options]")
			.filter((word) -> !word.isEmpty())
			.collect(Collectors.joining(" "));
		String own = options(command.options());
		return usage + "\n\n" + command.summary() + "\n\n" + (own.isEmpty() ? "" : "Options:\n" + own + "\n")
				+ "Options of all commands: balsamlanectl --help\n" + exitCodes() + "Example: balsamlanectl "
				+ command.example() + "\n";
	}

	static Options globalOptions() {
		return new Options()
			.addOption(null, "server", true,
					"URLs of operator ports, separated by commas; the next is tried when one "
							+ "does not answer; http://127.0.0.1:8081 by default")
			.addOption(null, "key", true, "shared key of the routers; BALSAMLANE_KEY keeps it out of the process list")
			.addOption("o", "output", true, "text or json; get also knows ini")
			.addOption(null, "help", false, "print help")
			.addOption(null, "version", false, "print the version");
	}

	private static String options(Options options) {
		return options.getOptions().stream().map(HelpText::line).collect(Collectors.joining());
	}

	private static String line(Option option) {
		String name = ((option.getOpt() != null) ? "-" + option.getOpt() + ", " : "") + "--" + option.getLongOpt()
				+ (option.hasArg() ? " VALUE" : "");
		return String.format("  %-" + OPTION_WIDTH + "s %s%n", name, option.getDescription());
	}

	private static String exitCodes() {
		return Stream.of(ExitCode.values())
			.map((code) -> "  " + code.code() + "  " + code.meaning() + "\n")
			.collect(Collectors.joining("", "Exit codes:\n", ""));
	}

}
