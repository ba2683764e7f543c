package io.balsamlane.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.Options;

/**
 * Tells which backend servers a request may reach, and why.
 */
final class ExplainCommand implements Command {

	private static final List<String> VERDICTS = List.of("selectors", "targets");

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String summary() {
		return "tell which backend servers a request reaches from the asked router, and why";
	}

	@Override
	public Options options() {
		return new Options().addOption(null, "caller", true, "name of the caller; anonymous by default")
			.addOption(null, "model", true, "model that the request asks for")
			.addOption(null, "service", true, "plain service that the request calls")
			.addOption(null, "selector", true, "selector to explain instead of a request");
	}

	@Override
	public String example() {
		return "explain --caller kitakami --model draft-service";
	}

	@Override
	public ExitCode run(CommandContext context) {
		String query = "explain?caller=" + encode(context.option("caller")) + "&model="
				+ encode(context.option("model")) + "&service=" + encode(context.option("service")) + "&selector="
				+ encode(context.option("selector"));
		JsonObject route = context.routers().readJson(query);
		if (context.json()) {
			context.printJson(route);
			return ExitCode.DONE;
		}
		route.stream()
			.filter((entry) -> !VERDICTS.contains(entry.getKey()))
			.forEach((entry) -> context.print(entry.getKey() + ": " + entry.getValue()));
		VERDICTS.forEach((key) -> {
			context.print(key + ":");
			route.getJsonArray(key, new JsonArray()).forEach((verdict) -> context.print("  " + verdict));
		});
		return ExitCode.DONE;
	}

	private static String encode(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

}
