package io.balsamlane.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;

import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.Event;
import io.balsamlane.schema.EventReply;
import io.balsamlane.schema.ObjectChange;
import io.vertx.core.Vertx;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Entry point of {@code balsamlanectl}. Exit codes: 0 done, 1 refused, 2 bad usage, 3 no
 * router reachable.
 */
public final class ControlMain {

	private static final int EXIT_REFUSED = 1;

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_UNREACHABLE = 3;

	private static final String USAGE = """
			usage: balsamlanectl --server URL[,URL...] COMMAND [options]
			  apply --file FILE   submit the objects of an INI file
			  get                 print the configuration in force
			  status              print the state of the routers
			  timeline            print the events of all named routers in causal order
			Exit codes: 0 done, 1 refused, 2 bad usage, 3 no router reachable
			Example: balsamlanectl --server http://127.0.0.1:8081 apply --file pools.ini
			""";

	private ControlMain() {
	}

	/**
	 * Runs one command.
	 * @param args see {@code --help}
	 */
	public static void main(String[] args) {
		Options options = new Options().addOption(null, "server", true, "operator URLs of routers")
			.addOption(null, "key", true, "shared key")
			.addOption("f", "file", true, "INI file with objects")
			.addOption(null, "request", true, "request id")
			.addOption(null, "help", false, "print help")
			.addOption(null, "version", false, "print the version");
		Vertx vertx = Vertx.vertx();
		int exit;
		try {
			exit = run(vertx, new DefaultParser().parse(options, args));
		}
		catch (ParseException | UsageException | IOException ex) {
			System.err.println("balsamlanectl: " + ex.getMessage());
			System.err.print(USAGE);
			exit = EXIT_USAGE;
		}
		catch (RouterClient.UnreachableException ex) {
			System.err.println("balsamlanectl: " + ex.getMessage());
			exit = EXIT_UNREACHABLE;
		}
		vertx.close();
		System.exit(exit);
	}

	private static int run(Vertx vertx, CommandLine line) throws IOException {
		if (line.hasOption("help") || line.getArgList().isEmpty()) {
			System.out.print(USAGE);
			return 0;
		}
		List<RouterClient> routers = Stream.of(line.getOptionValue("server", "http://127.0.0.1:8081").split(","))
			.map((url) -> RouterClient.create(vertx, URI.create(url), line.getOptionValue("key", "")))
			.toList();
		return switch (line.getArgList().get(0)) {
			case "apply" -> apply(routers.get(0), Files.readString(Path.of(line.getOptionValue("file"))));
			case "get" -> print(routers.get(0).get("configuration"));
			case "status" -> routers.stream().mapToInt((router) -> print(router.get("status"))).max().orElse(0);
			case "timeline" -> timeline(routers, line.getOptionValue("request", ""));
			default -> throw new UsageException("Unknown command " + line.getArgList().get(0));
		};
	}

	private static int print(RouterClient.Answer answer) {
		System.out.println(answer.body());
		return (answer.status() < 300) ? 0 : EXIT_REFUSED;
	}

	private static int apply(RouterClient router, String text) {
		Configuration current = router.read("configuration", Configuration.newBuilder()).build();
		List<ObjectChange> objects = ObjectFile.parse(text)
			.stream()
			.map((object) -> object.toBuilder().setExpectedRevision(revision(current, object)).build())
			.toList();
		Change change = Change.newBuilder()
			.setChangeId(UUID.randomUUID().toString())
			.setAuthor(System.getProperty("user.name", ""))
			.addAllObjects(objects)
			.build();
		return print(router.post("changes", change));
	}

	private static long revision(Configuration current, ObjectChange object) {
		return switch (object.getKind()) {
			case POOL -> current.getPoolsList()
				.stream()
				.filter((pool) -> pool.getName().equals(object.getName()))
				.mapToLong((pool) -> pool.getChangedRevision())
				.findFirst()
				.orElse(0);
			case SERVICE -> current.getServicesList()
				.stream()
				.filter((service) -> service.getName().equals(object.getName()))
				.mapToLong((service) -> service.getChangedRevision())
				.findFirst()
				.orElse(0);
			case SELECTOR -> current.getSelectorsList()
				.stream()
				.filter((selector) -> selector.getName().equals(object.getName()))
				.mapToLong((selector) -> selector.getChangedRevision())
				.findFirst()
				.orElse(0);
			case CALLER -> current.getCallersList()
				.stream()
				.filter((caller) -> caller.getName().equals(object.getName()))
				.mapToLong((caller) -> caller.getChangedRevision())
				.findFirst()
				.orElse(0);
			default -> 0;
		};
	}

	private static int timeline(List<RouterClient> routers, String requestId) {
		List<Event> events = new ArrayList<>();
		routers.forEach((router) -> events
			.addAll(router.read("events?request=" + requestId, EventReply.newBuilder()).getEventsList()));
		events.stream()
			.sorted(Comparator.comparingLong(Event::getHybridTime))
			.map(ControlMain::format)
			.forEach(System.out::println);
		return 0;
	}

	private static String format(Event event) {
		return String.format("%tT.%<tL %-10s %-22s %s%s %s %s", event.getHybridTime() >>> 16, event.getHost(),
				event.getKind(), event.getRequestId(), (event.getAttempt() > 0) ? "." + event.getAttempt() : "",
				event.getSubject(), event.getDetail());
	}

}
