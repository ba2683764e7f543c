package io.balsamlane.router.admin;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.balsamlane.core.configuration.ConfigurationEditor;
import io.balsamlane.core.configuration.EditResult;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.routing.Route;
import io.balsamlane.core.routing.RouteTable;
import io.balsamlane.router.configuration.SubmitResult;
import io.balsamlane.schema.Caller;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Answers requests that read, preview and change the configuration.
 */
final class ConfigurationHandlers {

	private final OperatorParts parts;

	ConfigurationHandlers(OperatorParts parts) {
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
	 * Tells what a change would do without submitting it.
	 * @param body the change; without objects the answer describes the present state
	 * @return the reach of each selector before and after
	 */
	Future<OperatorAnswer> preview(Buffer body) {
		return withChange(body, (change) -> Future.succeededFuture(preview(change)));
	}

	private OperatorAnswer preview(Change change) {
		Configuration before = this.parts.configuration().applied();
		EditResult result = ConfigurationEditor.apply(before, change, System.currentTimeMillis());
		if (result instanceof EditResult.Edited edited) {
			SelectorReach reach = SelectorReach.of(this.parts.hosts().get());
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
		return OperatorAnswer.error(503, "store-unavailable",
				"The change is not stored: " + ((SubmitResult.StoreUnavailable) result).message(),
				"Try again when the platform store answers; see docs/operations.md");
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
		String callerName = request.getParam("caller", "");
		if (model.isEmpty() == service.isEmpty()) {
			return Future.succeededFuture(OperatorAnswer.error(400, "malformed-query",
					"The query names neither or both of model and service", "Name one of them"));
		}
		RouteTable routes = this.parts.state().routes();
		Optional<Caller> caller = routes.configuration()
			.getCallersList()
			.stream()
			.filter((candidate) -> candidate.getName().equals(callerName))
			.findFirst();
		if (!callerName.isEmpty() && caller.isEmpty()) {
			return Future.succeededFuture(OperatorAnswer.error(404, "unknown-caller",
					"No caller has the name \"" + callerName + "\"", "Check the name with balsamlanectl get caller"));
		}
		Caller known = caller.orElse(Caller.getDefaultInstance());
		Route route = model.isEmpty() ? routes.serviceRoute(known, service) : routes.modelRoute(known, model);
		return Future.succeededFuture(OperatorAnswer.json(200, json(route).put("revision", routes.revision())));
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
