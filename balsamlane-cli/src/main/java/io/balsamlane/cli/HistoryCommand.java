package io.balsamlane.cli;

import java.util.List;

import io.balsamlane.schema.Change;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.Options;

/**
 * Lists the newest changes.
 */
final class HistoryCommand implements Command {

	private static final int DEFAULT_LIMIT = 10;

	@Override
	public String name() {
		return "history";
	}

	@Override
	public String summary() {
		return "list the newest changes with their authors";
	}

	@Override
	public Options options() {
		return new Options().addOption(null, "limit", true, "number of changes; 10 by default, 50 are kept");
	}

	@Override
	public String example() {
		return "history --limit 3";
	}

	@Override
	public ExitCode run(CommandContext context) {
		List<Change> all = context.configuration().getChangesList();
		int limit = (int) Math.min(all.size(), Math.max(0, context.number("limit", DEFAULT_LIMIT)));
		List<Change> newest = all.subList(all.size() - limit, all.size());
		JsonArray json = new JsonArray();
		newest.forEach((change) -> {
			context.note(ChangeText.title(change));
			ChangeText.lines(change).forEach(context::note);
			json.add(new JsonObject().put("revision", change.getRevision())
				.put("accepted", ChangeText.time(change.getAcceptedEpochMillis()))
				.put("author", change.getAuthor())
				.put("changeId", change.getChangeId())
				.put("difference", new JsonArray(ChangeText.lines(change))));
		});
		if (context.json()) {
			context.printJson(new JsonObject().put("changes", json));
		}
		return ExitCode.DONE;
	}

}
