package io.balsamlane.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Shows the state of each named router.
 */
final class StatusCommand implements Command {

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String summary() {
		return "show the state of each router that --server names, and what they see of each other";
	}

	@Override
	public String example() {
		return "status --server http://10.0.0.1:8081,http://10.0.0.2:8081";
	}

	@Override
	public ExitCode run(CommandContext context) {
		List<JsonObject> answers = new ArrayList<>();
		List<String> silent = new ArrayList<>();
		for (URI server : context.routers().servers()) {
			Optional<RouterClient.Answer> answer = context.routers().getFrom(server, "status");
			if (answer.isPresent()) {
				answers.add(RouterClient.require(answer.get()).json());
			}
			else {
				silent.add(server.toString());
			}
		}
		if (answers.isEmpty()) {
			throw CommandException.unreachable("No router answered: " + String.join(", ", silent)
					+ "; name another router with --server or BALSAMLANE_SERVER");
		}
		List<String> remarks = remarks(answers, silent);
		if (context.json()) {
			context.printJson(new JsonObject().put("routers", new JsonArray(answers))
				.put("silent", new JsonArray(silent))
				.put("remarks", new JsonArray(remarks)));
			return ExitCode.DONE;
		}
		TextTable table = TextTable.of("HOST", "PLACE", "REVISION", "READY", "REQUESTS", "STORE-AGE-S", "MEMBERS");
		answers.forEach((json) -> table.row(json.getString("host"), json.getString("place"), json.getLong("revision"),
				state(json), json.getInteger("requestsInProgress", 0), json.getLong("storeAgeMillis", 0L) / 1000,
				json.getJsonArray("members", new JsonArray()).size()));
		context.out().print(table);
		remarks.forEach(context::print);
		return ExitCode.DONE;
	}

	private static String state(JsonObject json) {
		if (json.getBoolean("draining", false)) {
			return "draining";
		}
		return json.getBoolean("ready", false) ? "yes" : "no";
	}

	private static List<String> remarks(List<JsonObject> answers, List<String> silent) {
		List<String> remarks = new ArrayList<>();
		silent.forEach((server) -> remarks.add("No answer from " + server));
		Set<Long> revisions = new TreeSet<>();
		Set<String> asked = new TreeSet<>();
		Set<String> seen = new TreeSet<>();
		answers.forEach((json) -> {
			revisions.add(json.getLong("revision", 0L));
			asked.add(json.getString("host"));
			json.getJsonArray("members", new JsonArray())
				.forEach((member) -> seen.add(((JsonObject) member).getString("host")));
		});
		if (revisions.size() > 1) {
			remarks.add("Revisions differ: " + revisions + "; see docs/OPERATIONS.md, \"A change is not everywhere\"");
		}
		seen.removeAll(asked);
		if (!seen.isEmpty()) {
			remarks.add("Members that were not asked: " + String.join(", ", seen));
		}
		return remarks;
	}

}
