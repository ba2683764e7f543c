package io.balsamlane.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.balsamlane.standin.engine.EngineStandIn;
import io.balsamlane.standin.hosts.HostListStandIn;
import io.balsamlane.standin.service.PlainServiceStandIn;
import io.balsamlane.standin.store.PlatformStoreStandIn;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/**
 * Runs stand-ins of one kind in a separate process and prints their ports, one per line.
 */
public final class StandInMain {

	private StandInMain() {
	}

	/**
	 * Start the stand-ins of the kind that the first argument names.
	 * @param args {@code store}, {@code hosts}, {@code engine} or {@code service}, then
	 * options
	 * @throws Exception if the options are invalid or the port is in use
	 */
	public static void main(String[] args) throws Exception {
		Options options = StandInOptions.all();
		if (List.of(args).contains("--help")) {
			HelpFormatter.builder().get().printHelp("stand-in store|hosts|engine|service", "", options, "", true);
			return;
		}
		if (List.of(args).contains("--version")) {
			String version = StandInMain.class.getPackage().getImplementationVersion();
			System.out.println("stand-in " + ((version != null) ? version : "development"));
			return;
		}
		CommandLine line = parse(options, args);
		Vertx vertx = Vertx.vertx();
		int count = Integer.parseInt(line.getOptionValue("count", "1"));
		for (int number = 1; number <= count; number++) {
			System.out.println("listening " + start(vertx, args[0], line, number, count));
		}
	}

	private static int start(Vertx vertx, String kind, CommandLine line, int number, int count) throws Exception {
		int port = Integer.parseInt(line.getOptionValue("port", "0"));
		if (port != 0 && count > 1) {
			throw new ParseException("Use --port 0 with --count");
		}
		String base = line.getOptionValue("name", kind);
		String name = (count > 1) ? base + "-" + number : base;
		CompletableFuture<Integer> listening = new CompletableFuture<>();
		// As a verticle, each stand-in runs all handlers and timers on one event loop.
		vertx.deployVerticle(new VerticleBase() {
			@Override
			public Future<?> start() throws Exception {
				return create(this.vertx, kind, line, port, name).start().onSuccess(listening::complete);
			}
		}).onFailure(listening::completeExceptionally);
		return listening.get();
	}

	private static StandIn create(Vertx vertx, String kind, CommandLine line, int port, String name)
			throws IOException {
		return switch (kind) {
			case "store" -> new PlatformStoreStandIn(vertx, port);
			case "hosts" -> new HostListStandIn(vertx, port, Long.parseLong(line.getOptionValue("lag-millis", "500")),
					new JsonArray(Files.readString(Path.of(line.getOptionValue("file")))));
			case "engine" ->
				new EngineStandIn(vertx, port, name, StandInOptions.capacity(line), StandInOptions.behaviour(line));
			case "service" -> new PlainServiceStandIn(vertx, port, name,
					Long.parseLong(line.getOptionValue("service-time-millis", "5")));
			default -> throw new IllegalArgumentException(
					"Unknown stand-in " + kind + "; use store, hosts, engine or service");
		};
	}

	private static CommandLine parse(Options options, String[] args) throws ParseException {
		if (args.length == 0) {
			throw new ParseException("Name the stand-in: store, hosts, engine or service");
		}
		return new DefaultParser().parse(options, args);
	}

}
