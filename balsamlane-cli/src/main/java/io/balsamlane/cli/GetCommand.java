package io.balsamlane.cli;

import java.util.List;
import java.util.Optional;

import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import io.balsamlane.schema.ObjectKind;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Lists the objects in force.
 */
final class GetCommand implements Command {

	@Override
	public String name() {
		return "get";
	}

	@Override
	public String summary() {
		return "list the objects in force; -o ini gives a file to edit and apply";
	}

	@Override
	public String arguments() {
		return "[KIND [NAME]]";
	}

	@Override
	public String example() {
		return "get selector school-drafts -o ini > selector.ini";
	}

	@Override
	public ExitCode run(CommandContext context) {
		List<String> arguments = context.arguments();
		Optional<ObjectKind> kind = arguments.stream().findFirst().map(ConfigurationObjects::kind);
		Configuration configuration = context.configuration();
		List<ObjectChange> objects = ConfigurationObjects.all(configuration)
			.stream()
			.filter((object) -> kind.isEmpty() || object.getKind() == kind.get())
			.filter((object) -> arguments.size() < 2 || object.getName().equals(arguments.get(1)))
			.toList();
		if (arguments.size() > 1 && objects.isEmpty()) {
			throw CommandException.refused("There is no " + arguments.get(0) + " " + arguments.get(1)
					+ "; list the names with: balsamlanectl get " + arguments.get(0));
		}
		switch (context.format()) {
			case "ini" -> context.out().print(ObjectFile.format(configuration, objects));
			case "json" -> context.printJson(json(configuration, objects));
			default -> {
				context.print("Revision " + configuration.getRevision());
				TextTable table = TextTable.of("KIND", "NAME", "REVISION", "VALUES");
				objects.forEach((object) -> table.row(object.getKind().name().toLowerCase(java.util.Locale.ROOT),
						object.getName(), object.getExpectedRevision(), ObjectFile.values(object)));
				context.out().print(table);
			}
		}
		return ExitCode.DONE;
	}

	private static JsonObject json(Configuration configuration, List<ObjectChange> objects) {
		JsonArray array = new JsonArray();
		objects.forEach((object) -> array.add(json(object)));
		return new JsonObject().put("revision", configuration.getRevision()).put("objects", array);
	}

	static JsonObject json(ObjectChange object) {
		JsonObject values = new JsonObject();
		ObjectFile.values(object).forEach(values::put);
		return new JsonObject().put("kind", object.getKind().name().toLowerCase(java.util.Locale.ROOT))
			.put("name", object.getName())
			.put("revision", object.getExpectedRevision())
			.put("values", values);
	}

}
