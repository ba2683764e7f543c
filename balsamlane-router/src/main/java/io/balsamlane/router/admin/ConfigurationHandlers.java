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
 * Handlers for requests that read, preview and change the configuration.
 */
final class ConfigurationHandlers {

	private final NodeSettings node;

	private final AdminContext context;

	ConfigurationHandlers(NodeSettings node, AdminContext context) {
		this.node = node;
		this.context = context;
	}

	Future<OperatorResponse> read() {
		return Future.succeededFuture(OperatorResponse.message(this.context.configuration().applied()));
	}

	Future<OperatorResponse> submit(Buffer body) {
		return withChange(body,
				(change) -> this.context.configuration().submit(change).map(ConfigurationHandlers::toResponse));
	}

	/**
	 * Write the applied configuration back to a platform store that holds an older
	 * revision.
	 * @param body a change with an id and an author but without objects
	 * @return a future with the response
	 */
	Future<OperatorResponse> restore(Buffer body) {
		return withChange(body,
				(change) -> this.context.configuration().restore(change).map(ConfigurationHandlers::toResponse));
	}

	/**
	 * Return on which routers a revision is in force.
	 * @param request the request, with the revision as a query parameter
	 * @return a future with the hosts that have applied the revision and those that have
	 * not
	 */
	Future<OperatorResponse> inForce(HttpServerRequest request) {
		String revision = request.getParam("revision", "");
		if (!revision.matches("[0-9]{1,18}")) {
			return Future.succeededFuture(OperatorResponse.error(400, "malformed-query",
					"The query has no valid revision", "Specify a revision, such as in-force?revision=12"));
		}
		return this.context.configuration()
			.inForce(Long.parseLong(revision))
			.map((result) -> OperatorResponse.json(200, result.toJson()));
	}

	/**
	 * Compute the effect of a change without submitting it.
	 * @param body the change; if it has no objects, the response describes the current
	 * state
	 * @return a future with the engines and replicas that each selector reaches before
	 * and after the change
	 */
	Future<OperatorResponse> preview(Buffer body) {
		return withChange(body, (change) -> Future.succeededFuture(preview(change)));
	}

	private OperatorResponse preview(Change change) {
		Configuration before = this.context.configuration().applied();
		if (change.getObjectsCount() == 0) {
			return OperatorResponse.json(200, new JsonObject().put("revision", before.getRevision())
				.put("selectors", ReachabilityComparison.of(this.context.hosts().get()).compare(before, before)));
		}
		EditResult result = ConfigurationEditor.apply(before, change, System.currentTimeMillis());
		if (result instanceof EditResult.Edited edited) {
			ReachabilityComparison reach = ReachabilityComparison.of(this.context.hosts().get());
			return OperatorResponse.json(200, new JsonObject().put("revision", before.getRevision())
				.put("selectors", reach.compare(before, edited.configuration())));
		}
		if (result instanceof EditResult.AlreadyAccepted accepted) {
			return OperatorResponse.json(200,
					new JsonObject().put("revision", accepted.revision()).put("selectors", new JsonArray()));
		}
		return toResponse(new SubmitResult.Refused(result));
	}

	private static Future<OperatorResponse> withChange(Buffer body,
			Function<Change, Future<OperatorResponse>> handler) {
		Change.Builder change = Change.newBuilder();
		try {
			JsonFormat.parser().merge(body.toString(StandardCharsets.UTF_8), change);
		}
		catch (InvalidProtocolBufferException ex) {
			return Future.succeededFuture(OperatorResponse.error(400, "malformed-change",
					"The body is not a change: " + ex.getMessage(), "Send a Change message as JSON"));
		}
		if (change.getChangeId().isBlank()) {
			return Future.succeededFuture(OperatorResponse.error(400, "malformed-change", "The change has no changeId",
					"Send a random id, and the same id when the change is sent again"));
		}
		return handler.apply(change.build());
	}

	private static OperatorResponse toResponse(SubmitResult result) {
		if (result instanceof SubmitResult.Stored stored) {
			return OperatorResponse.json(200,
					new JsonObject().put("kind", "stored").put("revision", stored.revision()));
		}
		if (result instanceof SubmitResult.Refused refused) {
			return toErrorResponse(refused.reason());
		}
		if (result instanceof SubmitResult.Undecided undecided) {
			return OperatorResponse.error(503, "undecided", "The change may be stored: " + undecided.message(),
					"Send it again with the same changeId");
		}
		if (result instanceof SubmitResult.StoreRegressed regressed) {
			return OperatorResponse.error(503, "store-regressed", "The change is not stored: " + regressed.message(),
					"Check the platform store, then send POST /admin/v1/restore to a router with the highest revision");
		}
		return OperatorResponse.error(503, "store-unavailable",
				"The change is not stored: " + ((SubmitResult.StoreUnavailable) result).message(),
				"Try again when the platform store responds; see docs/OPERATIONS.md");
	}

	private static OperatorResponse toErrorResponse(EditResult reason) {
		if (reason instanceof EditResult.Conflict conflict) {
			return OperatorResponse.json(409,
					new JsonObject().put("kind", "conflict")
						.put("object", conflict.object())
						.put("expectedRevision", conflict.expectedRevision())
						.put("actualRevision", conflict.actualRevision())
						.put("message", "The " + conflict.object() + " was changed by someone else: you saw revision "
								+ conflict.expectedRevision() + ", it has revision " + conflict.actualRevision())
						.put("remedy", "Read it again, apply your change to what is there now, and submit again"));
		}
		String message = (reason instanceof EditResult.Invalid invalid) ? invalid.message() : reason.toString();
		return OperatorResponse.error(422, "invalid", message, "Correct the object and submit again");
	}

	Future<OperatorResponse> explain(HttpServerRequest request) {
		String model = request.getParam("model", "");
		String service = request.getParam("service", "");
		String selector = request.getParam("selector", "");
		String callerName = request.getParam("caller", "");
		if (Stream.of(model, service, selector).filter((name) -> !name.isEmpty()).count() != 1) {
			return Future.succeededFuture(OperatorResponse.error(400, "malformed-query",
					"The query must have exactly one of model, service and selector", "Specify one of them"));
		}
		Configuration configuration = this.context.state().routes().configuration();
		RouteExplainer explainer = RouteExplainer.of(configuration, this.context.hosts().get(),
				Place.of(this.node.getPlace()), this.node.getRegion());
		if (!selector.isEmpty()) {
			return Future.succeededFuture(explainer.selector(selector)
				.map((explanation) -> OperatorResponse.json(200, verdicts(explanation)))
				.orElseGet(() -> OperatorResponse.error(404, "unknown-selector",
						"No selector has the name \"" + selector + "\"",
						"Check the name with balsamlanectl get selector")));
		}
		Optional<Caller> caller = configuration.getCallersList()
			.stream()
			.filter((candidate) -> candidate.getName().equals(callerName))
			.findFirst();
		if (!callerName.isEmpty() && caller.isEmpty()) {
			return Future.succeededFuture(OperatorResponse.error(404, "unknown-caller",
					"No caller has the name \"" + callerName + "\"", "Check the name with balsamlanectl get caller"));
		}
		Caller known = caller.orElse(Caller.getDefaultInstance());
		Explanation explanation = model.isEmpty() ? explainer.service(known, service) : explainer.model(known, model);
		return Future.succeededFuture(OperatorResponse.json(200,
				json(explanation.route()).put("revision", configuration.getRevision()).mergeIn(verdicts(explanation))));
	}

	private static JsonObject verdicts(Explanation explanation) {
		JsonArray selectors = new JsonArray();
		explanation.selectors()
			.forEach((verdict) -> selectors
				.add(verdict.selector() + ": " + verdict.decision().name().toLowerCase(Locale.ROOT).replace('_', ' ')
						+ describeFailedTerms(verdict.failedTerms())));
		JsonArray targets = new JsonArray();
		explanation.targets().forEach((target) -> {
			String name = target.kind() + " " + target.name();
			targets.add(name + (target.failedTerms().isEmpty() ? ": selected" : ": not selected")
					+ describeFailedTerms(target.failedTerms()));
			target.servers()
				.forEach((server) -> targets.add(name + ", " + server.server()
						+ (server.reachable() ? ": reachable" : ": not reachable (" + server.reason() + ")")));
		});
		return new JsonObject().put("selectors", selectors).put("targets", targets);
	}

	private static String describeFailedTerms(List<String> terms) {
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
