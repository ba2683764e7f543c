package io.balsamlane.standin;

import java.nio.file.Files;
import java.nio.file.Path;

import io.balsamlane.standin.engine.EngineCapacity;
import io.balsamlane.standin.engine.EngineOrderBook;
import io.balsamlane.standin.engine.EngineStandIn;
import io.balsamlane.standin.hosts.HostListStandIn;
import io.balsamlane.standin.service.PlainServiceStandIn;
import io.balsamlane.standin.store.PlatformStoreStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs one stand-in as a process of its own and prints its port.
 */
public final class StandInMain {

	private StandInMain() {
	}

	/**
	 * Starts the stand-in that the first argument names.
	 * @param args {@code store}, {@code hosts}, {@code engine} or {@code service}, then
	 * options
	 * @throws Exception if the options are wrong or the port is taken
	 */
	public static void main(String[] args) throws Exception {
		Options options = new Options().addOption(null, "port", true, "port to listen on; 0 lets the kernel choose")
			.addOption(null, "name", true, "name of the engine or replica")
			.addOption(null, "lag-millis", true, "lag of the host list")
			.addOption(null, "service-time-millis", true, "time of one call of a plain service")
			.addOption(null, "checks-fencing", true, "whether an engine refuses orders with an old fencing number")
			.addOption(null, "load-millis", true, "time that an engine takes to load a model or adapters")
			.addOption(null, "file", true, "JSON file with the hosts");
		CommandLine line = parse(options, args);
		Vertx vertx = Vertx.vertx();
		int port = Integer.parseInt(line.getOptionValue("port", "0"));
		String name = line.getOptionValue("name", args[0]);
		StandIn standIn = switch (args[0]) {
			case "store" -> new PlatformStoreStandIn(vertx, port);
			case "hosts" -> new HostListStandIn(vertx, port, Long.parseLong(line.getOptionValue("lag-millis", "500")),
					new JsonArray(Files.readString(Path.of(line.getOptionValue("file")))));
			case "engine" -> new EngineStandIn(vertx, port, name, EngineCapacity.ofDefaults(), orders(vertx, line));
			case "service" -> new PlainServiceStandIn(vertx, port, name,
					Long.parseLong(line.getOptionValue("service-time-millis", "5")));
			default -> throw new IllegalArgumentException(
					"Unknown stand-in " + args[0] + "; use store, hosts, engine or service");
		};
		int actualPort = standIn.start().toCompletionStage().toCompletableFuture().get();
		System.out.println("listening " + actualPort);
	}

	private static EngineOrderBook orders(Vertx vertx, CommandLine line) {
		return EngineOrderBook.create(vertx, Boolean.parseBoolean(line.getOptionValue("checks-fencing", "true")),
				Long.parseLong(line.getOptionValue("load-millis", "0")));
	}

	private static CommandLine parse(Options options, String[] args) throws ParseException {
		if (args.length == 0) {
			throw new ParseException("Name the stand-in: store, hosts, engine or service");
		}
		return new DefaultParser().parse(options, args);
	}

}
