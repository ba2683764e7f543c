package io.balsamlane.router.admin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.balsamlane.core.configuration.ConfigurationEditor;
import io.balsamlane.core.configuration.EditResult;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.routing.Explanation;
import io.balsamlane.core.routing.Route;
import io.balsamlane.core.routing.RouteExplainer;
import io.balsamlane.router.configuration.SubmitResult;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.NodeSettings;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Answers requests that read, preview and change the configuration.
 */
final class ConfigurationHandlers {

	private final NodeSettings node;

	private final OperatorParts parts;

	ConfigurationHandlers(NodeSettings node, OperatorParts parts) {
		this.node = node;
		this.parts = parts;
	}

	Future<OperatorAnswer> read() {
		return Future.succeededFuture(OperatorAnswer.message(this.parts.configuration().applied()));
	}

	Future<OperatorAnswer> submit(Buffer body) {
		return withChange(body,
				(change) -> this.parts.configuration().submit(change).map(ConfigurationHandlers::answer));
	}

	/**
	 * Writes the configuration in force back to a store that holds an older one.
	 * @param body a change without objects, which names id and author
	 * @return the outcome
	 */
	Future<OperatorAnswer> restore(Buffer body) {
		return withChange(body,
				(change) -> this.parts.configuration().restore(change).map(ConfigurationHandlers::answer));
	}

	/**
	 * Tells on which routers a revision is in force.
	 * @param request names the revision
	 * @return the hosts that have it in force and those that are missing
	 */
	Future<OperatorAnswer> inForce(HttpServerRequest request) {
		String revision = request.getParam("revision", "");
		if (!revision.matches("[0-9]{1,18}")) {
			return Future.succeededFuture(OperatorAnswer.error(400, "malformed-query", "The query names no revision",
					"Name a revision, such as in-force?revision=12"));
		}
		return this.parts.configuration()
			.inForce(Long.parseLong(revision))
			.map((answer) -> OperatorAnswer.json(200, answer.toJson()));
	}

	/**
	 * Tells what a change would do without submitting it.
	 * @param body the change; without objects the answer describes the present state
	 * @return the reach of each selector before and after
	 */
	Future<OperatorAnswer> preview(Buffer body) {
		return withChange(body, (change) -> Future.succeededFuture(preview(change)));
	}

	private OperatorAnswer preview(Change change) {
		Configuration before = this.parts.configuration().applied();
		if (change.getObjectsCount() == 0) {
			return OperatorAnswer.json(200, new JsonObject().put("revision", before.getRevision())
				.put("selectors", ReachComparison.of(this.parts.hosts().get()).compare(before, before)));
		}
		EditResult result = ConfigurationEditor.apply(before, change, System.currentTimeMillis());
		if (result instanceof EditResult.Edited edited) {
			ReachComparison reach = ReachComparison.of(this.parts.hosts().get());
			return OperatorAnswer.json(200, new JsonObject().put("revision", before.getRevision())
				.put("selectors", reach.compare(before, edited.configuration())));
		}
		if (result instanceof EditResult.AlreadyAccepted accepted) {
			return OperatorAnswer.json(200,
					new JsonObject().put("revision", accepted.revision()).put("selectors", new JsonArray()));
		}
		return answer(new SubmitResult.Refused(result));
	}

	private static Future<OperatorAnswer> withChange(Buffer body, Function<Change, Future<OperatorAnswer>> handler) {
		Change.Builder change = Change.newBuilder();
		try {
			JsonFormat.parser().merge(body.toString(StandardCharsets.UTF_8), change);
		}
		catch (InvalidProtocolBufferException ex) {
			return Future.succeededFuture(OperatorAnswer.error(400, "malformed-change",
					"The body is not a change: " + ex.getMessage(), "Send a Change message as JSON"));
		}
		if (change.getChangeId().isBlank()) {
			return Future.succeededFuture(OperatorAnswer.error(400, "malformed-change", "The change has no changeId",
					"Send a random id, and the same id when the change is sent again"));
		}
		return handler.apply(change.build());
	}

	private static OperatorAnswer answer(SubmitResult result) {
		if (result instanceof SubmitResult.Stored stored) {
			return OperatorAnswer.json(200, new JsonObject().put("kind", "stored").put("revision", stored.revision()));
		}
		if (result instanceof SubmitResult.Refused refused) {
			return refused(refused.reason());
		}
		if (result instanceof SubmitResult.Undecided undecided) {
			return OperatorAnswer.error(503, "undecided", "The change may be stored: " + undecided.message(),
					"Send it again with the same changeId");
		}
		if (result instanceof SubmitResult.StoreRegressed regressed) {
			return OperatorAnswer.error(503, "store-regressed", "The change is not stored: " + regressed.message(),
					"Check the platform store, then send POST /admin/v1/restore to a router with the highest revision");
		}
		return OperatorAnswer.error(503, "store-unavailable",
				"The change is not stored: " + ((SubmitResult.StoreUnavailable) result).message(),
				"Try again when the platform store answers; see docs/OPERATIONS.md");
	}

	private static OperatorAnswer refused(EditResult reason) {
		if (reason instanceof EditResult.Conflict conflict) {
			return OperatorAnswer.json(409,
					new JsonObject().put("kind", "conflict")
						.put("object", conflict.object())
						.put("expectedRevision", conflict.expectedRevision())
						.put("actualRevision", conflict.actualRevision())
						.put("message", "The " + conflict.object() + " was changed by someone else: you saw revision "
								+ conflict.expectedRevision() + ", it has revision " + conflict.actualRevision())
						.put("remedy", "Read it again, apply your change to what is there now, and submit again"));
		}
		String message = (reason instanceof EditResult.Invalid invalid) ? invalid.message() : reason.toString();
		return OperatorAnswer.error(422, "invalid", message, "Correct the object and submit again");
	}

	Future<OperatorAnswer> explain(HttpServerRequest request) {
		String model = request.getParam("model", "");
		String service = request.getParam("service", "");
		String selector = request.getParam("selector", "");
		String callerName = request.getParam("caller", "");
		if (Stream.of(model, service, selector).filter((name) -> !name.isEmpty()).count() != 1) {
			return Future.succeededFuture(OperatorAnswer.error(400, "malformed-query",
					"The query names none or several of model, service and selector", "Name one of them"));
		}
		Configuration configuration = this.parts.state().routes().configuration();
		RouteExplainer explainer = RouteExplainer.of(configuration, this.parts.hosts().get(),
				Place.of(this.node.getPlace()), this.node.getRegion());
		if (!selector.isEmpty()) {
			return Future.succeededFuture(explainer.selector(selector)
				.map((explanation) -> OperatorAnswer.json(200, verdicts(explanation)))
				.orElseGet(() -> OperatorAnswer.error(404, "unknown-selector",
						"No selector has the name \"" + selector + "\"",
						"Check the name with balsamlanectl get selector")));
		}
		Optional<Caller> caller = configuration.getCallersList()
			.stream()
			.filter((candidate) -> candidate.getName().equals(callerName))
			.findFirst();
		if (!callerName.isEmpty() && caller.isEmpty()) {
			return Future.succeededFuture(OperatorAnswer.error(404, "unknown-caller",
					"No caller has the name \"" + callerName + "\"", "Check the name with balsamlanectl get caller"));
		}
		Caller known = caller.orElse(Caller.getDefaultInstance());
		Explanation explanation = model.isEmpty() ? explainer.service(known, service) : explainer.model(known, model);
		return Future.succeededFuture(OperatorAnswer.json(200,
				json(explanation.route()).put("revision", configuration.getRevision()).mergeIn(verdicts(explanation))));
	}

	private static JsonObject verdicts(Explanation explanation) {
		JsonArray selectors = new JsonArray();
		explanation.selectors()
			.forEach((verdict) -> selectors
				.add(verdict.selector() + ": " + verdict.decision().name().toLowerCase(Locale.ROOT).replace('_', ' ')
						+ failed(verdict.failedTerms())));
		JsonArray targets = new JsonArray();
		explanation.targets().forEach((target) -> {
			String name = target.kind() + " " + target.name();
			targets.add(name + (target.failedTerms().isEmpty() ? ": selected" : ": not selected")
					+ failed(target.failedTerms()));
			target.servers()
				.forEach((server) -> targets.add(name + ", " + server.server()
						+ (server.reachable() ? ": reachable" : ": not reachable (" + server.reason() + ")")));
		});
		return new JsonObject().put("selectors", selectors).put("targets", targets);
	}

	private static String failed(List<String> terms) {
		return terms.isEmpty() ? "" : ", fails " + String.join("; ", terms);
	}

	private static JsonObject json(Route route) {
		if (route instanceof Route.ToEngines engines) {
			return new JsonObject().put("admitted", true)
				.put("selector", engines.selector().getName())
				.put("prefill", names(engines.prefill()))
				.put("decode", names(engines.decode()));
		}
		if (route instanceof Route.ToService replicas) {
			return new JsonObject().put("admitted", true)
				.put("selector", replicas.selector().getName())
				.put("replicas", names(replicas.replicas()));
		}
		Route.None none = (Route.None) route;
		return new JsonObject().put("admitted", false).put("kind", none.kind()).put("message", none.message());
	}

	private static JsonArray names(Iterable<BackendServer> servers) {
		JsonArray names = new JsonArray();
		servers.forEach((server) -> names.add(server.name().value() + "@" + server.place().value()));
		return names;
	}

}
