package io.balsamlane.router;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import io.balsamlane.router.edge.FirstRequestTransport;
import io.balsamlane.router.settings.SettingsLoader;
import io.balsamlane.router.settings.SettingsResult;
import io.balsamlane.schema.Settings;
import io.vertx.core.Vertx;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Entry point of {@code balsamlaned}. Exit codes: 0 for success, 1 if the daemon failed
 * to start, 2 for invalid arguments or settings.
 */
public final class RouterMain {

	private static final int EXIT_START_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	static final String USAGE = """
			usage: balsamlaned --config FILE [--check]
			  --config FILE  settings, see docs/settings.md
			  --check        check the settings and exit
			  --help         print this text
			  --version      print the version
			Exit codes: 0 done, 1 start failed, 2 bad usage or settings
			Example: balsamlaned --config /etc/balsamlane.ini
			""";

	private RouterMain() {
	}

	/**
	 * Run the daemon until it is told to stop.
	 * @param args the command line arguments, see {@code --help}
	 */
	public static void main(String[] args) {
		Options options = new Options().addOption(null, "config", true, "settings file")
			.addOption(null, "check", false, "check the settings and exit")
			.addOption(null, "help", false, "print help")
			.addOption(null, "version", false, "print the version");
		try {
			CommandLine line = new DefaultParser().parse(options, args);
			if (line.hasOption("help")) {
				System.out.print(USAGE);
			}
			else if (line.hasOption("version")) {
				System.out.println("balsamlaned " + version());
			}
			else if (!line.hasOption("config") || !line.getArgList().isEmpty()) {
				throw new ParseException("Specify the settings file with --config FILE");
			}
			else {
				run(Path.of(line.getOptionValue("config")), line.hasOption("check"));
			}
		}
		catch (ParseException ex) {
			System.err.println("balsamlaned: " + ex.getMessage());
			System.err.print(USAGE);
			System.exit(EXIT_USAGE);
		}
	}

	private static String version() {
		String version = RouterMain.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

	private static void run(Path file, boolean checkOnly) {
		SettingsResult result = SettingsLoader.load(file);
		if (result instanceof SettingsResult.Invalid invalid) {
			invalid.errors().forEach(System.err::println);
			System.exit(EXIT_USAGE);
		}
		else if (checkOnly) {
			System.out.println(file + " is valid");
		}
		else if (result instanceof SettingsResult.Loaded loaded) {
			start(loaded.settings());
		}
	}

	private static void start(Settings settings) {
		Vertx vertx = FirstRequestTransport.createVertx(settings.getEdge().getIdleTimeoutMillis());
		RouterDaemon daemon = RouterDaemon.create(vertx, settings);
		daemon.onDrained(() -> new Thread(() -> System.exit(0), "exit").start());
		daemon.start()
			.onSuccess((ports) -> System.out
				.println("ready callers=" + ports.callers() + " admin=" + ports.admin() + " peer=" + ports.peer()))
			.onFailure((cause) -> {
				System.err.println("balsamlaned: cannot start: " + cause.getMessage()
						+ "; check [node] address and the ports in the settings");
				Runtime.getRuntime().halt(EXIT_START_FAILED);
			});
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(vertx, daemon, settings), "shutdown"));
	}

	private static void stop(Vertx vertx, RouterDaemon daemon, Settings settings) {
		long limitMillis = settings.getEdge().getDrainMillis() + 2L * settings.getEdge().getBalancerNoticeMillis()
				+ 1000;
		try {
			daemon.stop()
				.compose((done) -> vertx.close())
				.toCompletionStage()
				.toCompletableFuture()
				.get(limitMillis, TimeUnit.MILLISECONDS);
		}
		catch (Exception ex) {
			System.err.println("balsamlaned: stopped before all requests had finished: " + ex);
		}
	}

}
