package io.balsamlane.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Entry point of {@code balsamlanectl}; see {@link ExitCode} for its exit codes.
 */
public final class ControlMain {

	private static final List<Command> COMMANDS = List.of(new GetCommand(), new DescribeCommand(), new DiffCommand(),
			new ApplyCommand(), new HistoryCommand(), new RollbackCommand(), new ExplainCommand(), new StatusCommand(),
			new DrainCommand(), new TimelineCommand());

	private static final String DEFAULT_SERVER = "http://127.0.0.1:8081";

	private final Map<String, String> environment;

	private final PrintStream out;

	private final PrintStream err;

	private ControlMain(Map<String, String> environment, PrintStream out, PrintStream err) {
		this.environment = environment;
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs one command.
	 * @param args see {@code --help}
	 */
	public static void main(String[] args) {
		System.exit(run(System.getenv(), System.out, System.err, args));
	}

	/**
	 * Runs one command.
	 * @param environment environment variables
	 * @param out receives results
	 * @param err receives errors
	 * @param args see {@code --help}
	 * @return the exit code
	 */
	static int run(Map<String, String> environment, PrintStream out, PrintStream err, String... args) {
		ControlMain main = new ControlMain(environment, out, err);
		try {
			return main.run(args).code();
		}
		catch (ParseException ex) {
			err.println("balsamlanectl: " + ex.getMessage() + ". See balsamlanectl --help");
			return ExitCode.USAGE.code();
		}
		catch (CommandException ex) {
			err.println("balsamlanectl: " + ex.getMessage());
			return ex.exitCode().code();
		}
	}

	private ExitCode run(String[] args) throws ParseException {
		CommandLine first = new DefaultParser().parse(HelpText.globalOptions(), args, true);
		if (first.getArgList().isEmpty()) {
			return withoutCommand(first);
		}
		String name = first.getArgList().get(0);
		Optional<Command> command = COMMANDS.stream().filter((known) -> known.name().equals(name)).findFirst();
		if (command.isEmpty()) {
			throw new ParseException(name.startsWith("-") ? "Unknown option " + name + " before the command"
					: "Unknown command " + name);
		}
		Options options = HelpText.globalOptions();
		command.get().options().getOptions().forEach(options::addOption);
		CommandLine line = new DefaultParser().parse(options, args);
		if (line.hasOption("help")) {
			this.out.print(HelpText.of(command.get()));
			return ExitCode.DONE;
		}
		return run(command.get(), line);
	}

	private ExitCode withoutCommand(CommandLine line) {
		if (line.hasOption("version")) {
			String version = ControlMain.class.getPackage().getImplementationVersion();
			this.out.println("balsamlanectl " + ((version != null) ? version : "development"));
			return ExitCode.DONE;
		}
		if (line.hasOption("help")) {
			this.out.print(HelpText.of(COMMANDS));
			return ExitCode.DONE;
		}
		this.err.print(HelpText.of(COMMANDS));
		return ExitCode.USAGE;
	}

	private ExitCode run(Command command, CommandLine line) {
		String format = line.getOptionValue("output", "text");
		List<String> formats = (command instanceof GetCommand) ? List.of("text", "json", "ini")
				: List.of("text", "json");
		if (!formats.contains(format)) {
			throw CommandException.usage("--output is \"" + format + "\"; use one of " + String.join(", ", formats));
		}
		List<String> arguments = new ArrayList<>(line.getArgList()).subList(1, line.getArgList().size());
		if (arguments.size() > command.arguments().split(" ").length
				|| (command.arguments().isEmpty() && !arguments.isEmpty())) {
			throw CommandException.usage("Unexpected argument " + arguments.get(arguments.size() - 1)
					+ ". See balsamlanectl " + command.name() + " --help");
		}
		Vertx vertx = Vertx.vertx();
		try {
			RouterClient routers = RouterClient.create(vertx,
					value(line, "server", "BALSAMLANE_SERVER", DEFAULT_SERVER),
					value(line, "key", "BALSAMLANE_KEY", ""));
			return command.run(new CommandContext(routers, line, arguments, this.out));
		}
		finally {
			close(vertx);
		}
	}

	private String value(CommandLine line, String option, String variable, String standard) {
		return line.getOptionValue(option, this.environment.getOrDefault(variable, standard));
	}

	private static void close(Vertx vertx) {
		try {
			vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			// The process ends anyway.
		}
	}

}
