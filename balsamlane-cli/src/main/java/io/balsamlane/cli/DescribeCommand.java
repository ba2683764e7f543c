package io.balsamlane.cli;

import java.util.List;

import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Shows one object with its reach and its history.
 */
final class DescribeCommand implements Command {

	@Override
	public String name() {
		return "describe";
	}

	@Override
	public String summary() {
		return "show one object, what it reaches, and its newest changes";
	}

	@Override
	public String arguments() {
		return "KIND NAME";
	}

	@Override
	public String example() {
		return "describe selector school-drafts";
	}

	@Override
	public ExitCode run(CommandContext context) {
		if (context.arguments().size() != 2) {
			throw CommandException.usage("describe needs a kind and a name, such as: describe pool prefill-a");
		}
		Configuration configuration = context.configuration();
		ObjectKind kind = ConfigurationObjects.kind(context.arguments().get(0));
		ObjectChange object = ConfigurationObjects.find(configuration, kind, context.arguments().get(1))
			.orElseThrow(() -> CommandException.refused("There is no " + String.join(" ", context.arguments())
					+ "; list the names with: balsamlanectl get " + context.arguments().get(0)));
		JsonObject json = GetCommand.json(object);
		context.note(ConfigurationObjects.title(object) + ", revision " + object.getExpectedRevision());
		ObjectFile.values(object).forEach((key, value) -> context.note("  " + key + " = " + value));
		if (kind == ObjectKind.SELECTOR) {
			JsonObject reach = reach(context, object.getName());
			context.note("reaches " + ChangeSender.reach(reach));
			json.put("reach", reach);
		}
		List<Change> changes = ConfigurationObjects.changesOf(configuration, object);
		List<String> lines = changes.stream().flatMap((change) -> ChangeText.lines(change, object).stream()).toList();
		context.note("changes kept:");
		lines.forEach(context::note);
		if (context.json()) {
			context.printJson(json.put("changes", new JsonArray(lines)));
		}
		return ExitCode.DONE;
	}

	private static JsonObject reach(CommandContext context, String selector) {
		return RouterClient
			.require(context.routers().post("preview", Change.newBuilder().setChangeId("describe").build()))
			.json()
			.getJsonArray("selectors")
			.stream()
			.map((item) -> (JsonObject) item)
			.filter((item) -> item.getString("name").equals(selector))
			.map((item) -> item.getJsonObject("after"))
			.findFirst()
			.orElse(new JsonObject());
	}

}
