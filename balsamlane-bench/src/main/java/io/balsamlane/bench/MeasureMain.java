package io.balsamlane.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Entry point of {@code bin/measure}. Exit codes: 0 done, 1 a measurement failed, 2 bad
 * usage.
 */
public final class MeasureMain {

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private static final String USAGE = """
			usage: measure NAME --seed N [--seed N ...] --out DIR [options]
			  --seed N           seed; repeat it for several runs
			  --out DIR          directory for the CSV files and plots
			  --seconds N        duration of each load (default: the experiment's)
			  --policy NAME      scheduling policy to measure; repeat it for several
			  --deployment NAME  kitakami or trentside (default: both)
			  --load SHARE       offered load as a share of the capacity; repeat it for several
			  --help             print this text
			  --version          print the version
			Experiments: %s
			Exit codes: 0 done, 1 a measurement failed, 2 bad usage
			Example: measure path --seed 1 --out target/measurements
			""";

	private MeasureMain() {
	}

	/**
	 * Runs one experiment, once per seed.
	 * @param args see {@code --help}
	 */
	public static void main(String[] args) {
		System.exit(run(args));
	}

	/**
	 * Runs one experiment, once per seed.
	 * @param args see {@code --help}
	 * @return the exit code
	 */
	static int run(String... args) {
		ExperimentRegistry registry = ExperimentRegistry.ofAll();
		String usage = USAGE.formatted(String.join(", ", registry.names()));
		try {
			CommandLine line = new DefaultParser().parse(options(), args);
			if (line.hasOption("help")) {
				System.out.print(usage);
				return 0;
			}
			if (line.hasOption("version")) {
				System.out.println("measure " + version());
				return 0;
			}
			return measure(registry, line, args);
		}
		catch (ParseException | NumberFormatException | IOException ex) {
			System.err.println("measure: " + ex.getMessage());
			System.err.print(usage);
			return EXIT_USAGE;
		}
	}

	private static int measure(ExperimentRegistry registry, CommandLine line, String[] args)
			throws ParseException, IOException {
		if (line.getArgList().size() != 1 || !line.hasOption("seed") || !line.hasOption("out")) {
			throw new ParseException("Name one experiment, at least one --seed and --out");
		}
		String name = line.getArgList().get(0);
		Function<MeasureOptions, Experiment> factory = registry.find(name)
			.orElseThrow(() -> new ParseException("Unknown experiment " + name));
		Path out = Files.createDirectories(Path.of(line.getOptionValue("out")));
		String command = "bin/measure " + String.join(" ", List.of(args));
		OptionalInt seconds = line.hasOption("seconds")
				? OptionalInt.of(Integer.parseInt(line.getOptionValue("seconds"))) : OptionalInt.empty();
		List<MeasureOptions> runs = Stream.of(line.getOptionValues("seed"))
			.map((seed) -> new MeasureOptions(name, Long.parseLong(seed), out, seconds, values(line, "policy"),
					values(line, "deployment"), values(line, "load").stream().map(Double::parseDouble).toList(),
					command))
			.toList();
		try {
			runs.forEach((options) -> factory.apply(options).run());
			return 0;
		}
		catch (RuntimeException | AssertionError ex) {
			System.err.println("measure: " + name + " failed: " + ex);
			ex.printStackTrace();
			return EXIT_FAILED;
		}
	}

	private static List<String> values(CommandLine line, String option) {
		return line.hasOption(option) ? List.of(line.getOptionValues(option)) : List.of();
	}

	private static Options options() {
		return new Options().addOption(null, "seed", true, "seed")
			.addOption(null, "out", true, "directory")
			.addOption(null, "seconds", true, "duration of each load")
			.addOption(null, "policy", true, "scheduling policy")
			.addOption(null, "deployment", true, "deployment")
			.addOption(null, "load", true, "share of the capacity")
			.addOption(null, "help", false, "print help")
			.addOption(null, "version", false, "print the version");
	}

	private static String version() {
		String version = MeasureMain.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

}
