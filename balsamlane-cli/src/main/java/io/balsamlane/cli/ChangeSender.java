package io.balsamlane.cli;

import java.util.List;
import java.util.UUID;

import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ObjectChange;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.Options;

/**
 * Sends a planned change: shows it, warns, submits it until its outcome is known, and
 * reports where it is in force.
 */
final class ChangeSender {

	private static final int MAX_SUBMISSIONS = 5;

	private static final int RETRY_PAUSE_MILLIS = 300;

	private static final int CATCH_UP_MILLIS = 2000;

	private static final int DEFAULT_WAIT_MILLIS = 4000;

	private final CommandContext context;

	private final JsonObject result = new JsonObject();

	private ChangeSender(CommandContext context) {
		this.context = context;
	}

	static ChangeSender of(CommandContext context) {
		return new ChangeSender(context);
	}

	static Options options() {
		return new Options().addOption(null, "yes", false, "send although a selector would reach nothing")
			.addOption(null, "change-id", true, "id of the change; the same id never takes effect twice")
			.addOption(null, "author", true, "author for the history; the user by default")
			.addOption(null, "wait-millis", true, "longest wait until it is in force everywhere; 4000 by default");
	}

	/**
	 * Shows a change without sending it.
	 * @param plan the change
	 * @return the exit code
	 */
	ExitCode show(ChangePlan plan) {
		Change change = change(plan);
		describe(plan);
		ExitCode code = plan.objects().isEmpty() ? ExitCode.DONE : preview(change, false);
		return finish(code);
	}

	/**
	 * Sends a change.
	 * @param plan the change
	 * @return the exit code
	 */
	ExitCode send(ChangePlan plan) {
		describe(plan);
		if (plan.objects().isEmpty()) {
			this.context.note("Nothing to change.");
			this.result.put("kind", "unchanged");
			return finish(ExitCode.DONE);
		}
		Change change = change(plan);
		ExitCode checked = preview(change, true);
		return finish((checked == ExitCode.DONE) ? submit(change) : checked);
	}

	private Change change(ChangePlan plan) {
		String id = this.context.option("change-id");
		String author = this.context.option("author");
		return Change.newBuilder()
			.setChangeId(id.isEmpty() ? UUID.randomUUID().toString() : id)
			.setAuthor(author.isEmpty() ? System.getProperty("user.name", "") : author)
			.addAllObjects(plan.objects())
			.build();
	}

	private void describe(ChangePlan plan) {
		plan.notes().forEach(this.context::note);
		plan.difference().forEach(this.context::note);
		this.result.put("difference", new JsonArray(plan.difference())).put("notes", new JsonArray(plan.notes()));
	}

	private ExitCode finish(ExitCode code) {
		if (this.context.json()) {
			this.context.printJson(this.result.put("exitCode", code.code()));
		}
		return code;
	}

	private ExitCode preview(Change change, boolean confirm) {
		RouterClient.Answer answer = this.context.routers().post("preview", change);
		if (!answer.done()) {
			return refused(answer, change);
		}
		JsonArray selectors = answer.json().getJsonArray("selectors", new JsonArray());
		this.result.put("selectors", selectors);
		List<JsonObject> all = selectors.stream().map((item) -> (JsonObject) item).toList();
		all.stream()
			.filter((selector) -> !selector.getJsonObject("before").equals(selector.getJsonObject("after")))
			.forEach((selector) -> this.context
				.note("selector " + selector.getString("name") + " reaches " + reach(selector.getJsonObject("after"))
						+ " (before: " + reach(selector.getJsonObject("before")) + ")"));
		List<String> empty = all.stream()
			.filter((selector) -> !selector.getBoolean("deleted"))
			.filter((selector) -> none(selector.getJsonObject("after")))
			.filter((selector) -> !none(selector.getJsonObject("before")) || changes(change, selector))
			.map((selector) -> selector.getString("name"))
			.toList();
		if (empty.isEmpty()) {
			return ExitCode.DONE;
		}
		empty.forEach(
				(name) -> this.context.note("WARNING: selector " + name + " would reach no engine and no service"));
		this.result.put("reachingNone", new JsonArray(empty));
		if (!confirm || this.context.line().hasOption("yes")) {
			return ExitCode.DONE;
		}
		this.context.note("Not sent. Correct the targets or places, or add --yes to send it nevertheless.");
		this.result.put("kind", "unconfirmed");
		return ExitCode.UNCONFIRMED;
	}

	private static boolean changes(Change change, JsonObject selector) {
		return change.getObjectsList()
			.stream()
			.anyMatch((object) -> object.hasSelector() && object.getName().equals(selector.getString("name")));
	}

	private static boolean none(JsonObject reach) {
		return reach.getInteger("engines", 0) + reach.getInteger("replicas", 0) == 0;
	}

	static String reach(JsonObject reach) {
		return reach.getInteger("engines", 0) + " engines and " + reach.getInteger("replicas", 0) + " service replicas";
	}

	private ExitCode submit(Change change) {
		this.result.put("changeId", change.getChangeId());
		String failure = "";
		for (int submission = 0; submission < MAX_SUBMISSIONS; submission++) {
			if (submission > 0) {
				this.context.note("No clear answer (" + failure + "); sending the same change again");
				pause(RETRY_PAUSE_MILLIS);
			}
			try {
				RouterClient.Answer answer = this.context.routers().post("changes", change);
				if (answer.done()) {
					return stored(answer.json().getLong("revision"));
				}
				if (!answer.kind().equals("undecided")) {
					return refused(answer, change);
				}
				failure = answer.kind();
			}
			catch (CommandException ex) {
				failure = ex.getMessage();
			}
		}
		this.result.put("kind", "unknown").put("message", failure);
		this.context.note("It is not known whether the change is stored: " + failure + ". Run the same command with "
				+ "--change-id " + change.getChangeId() + " to settle it; the change cannot take effect twice.");
		return ExitCode.UNKNOWN;
	}

	private ExitCode stored(long revision) {
		this.context.note("Stored as revision " + revision + ".");
		this.result.put("kind", "stored").put("revision", revision);
		long waitMillis = this.context.number("wait-millis", DEFAULT_WAIT_MILLIS);
		long startNanos = System.nanoTime();
		InForce inForce = InForce.read(this.context.routers(), revision);
		while (!inForce.everywhere() && System.nanoTime() - startNanos < waitMillis * 1_000_000L) {
			pause(RETRY_PAUSE_MILLIS / 3);
			inForce = InForce.read(this.context.routers(), revision);
		}
		int all = inForce.hosts().size() + inForce.missing().size();
		this.result.put("inForce", new JsonArray(inForce.hosts())).put("missing", new JsonArray(inForce.missing()));
		this.context.note("In force on " + inForce.hosts().size() + " of " + all + " routers.");
		if (inForce.everywhere()) {
			this.context.note("In force everywhere.");
			return ExitCode.DONE;
		}
		this.context.note("Not in force on: " + String.join(", ", inForce.missing())
				+ ". It comes into force there when they reach the store or another router; see docs/OPERATIONS.md");
		return ExitCode.NOT_EVERYWHERE;
	}

	private ExitCode refused(RouterClient.Answer answer, Change change) {
		this.context.note(answer.explanation());
		JsonObject json = answer.json();
		this.result.put("kind", answer.kind()).put("message", json.getString("message"));
		if (answer.kind().equals("conflict")) {
			List<String> lines = change.getObjectsList()
				.stream()
				.filter((object) -> ConfigurationObjects.title(object).equals(json.getString("object")))
				.flatMap((object) -> otherChanges(object, json.getLong("actualRevision")).stream())
				.toList();
			lines.forEach(this.context::note);
			this.result.put("otherChanges", new JsonArray(lines));
			return ExitCode.CONFLICT;
		}
		return ExitCode.REFUSED;
	}

	private List<String> otherChanges(ObjectChange object, long actualRevision) {
		// The router that answers may apply the other change a moment later than the
		// store holds it.
		Configuration current = this.context.configuration();
		long startNanos = System.nanoTime();
		while (current.getRevision() < actualRevision
				&& System.nanoTime() - startNanos < CATCH_UP_MILLIS * 1_000_000L) {
			pause(RETRY_PAUSE_MILLIS / 3);
			current = this.context.configuration();
		}
		return ConfigurationObjects.changesOf(current, object)
			.stream()
			.filter((other) -> other.getRevision() > object.getExpectedRevision())
			.flatMap((other) -> ChangeText.lines(other, object).stream())
			.toList();
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
