package io.balsamlane.router.admin;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.balsamlane.core.configuration.EditResult;
import io.balsamlane.router.RouterState;
import io.balsamlane.router.configuration.ConfigurationKeeper;
import io.balsamlane.router.configuration.SubmitResult;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * HTTP server for operators, the balancer's health checks and metrics.
 */
public final class AdminServer {

	private static final String API_PREFIX = "/admin/v1/";

	private final Vertx vertx;

	private final Settings settings;

	private final RouterState state;

	private final ConfigurationKeeper configuration;

	private final Timeline timeline;

	private final MetricRegistry metrics;

	private HttpServer server;

	private AdminServer(Vertx vertx, Settings settings, RouterState state, ConfigurationKeeper configuration,
			Timeline timeline, MetricRegistry metrics) {
		this.vertx = vertx;
		this.settings = settings;
		this.state = state;
		this.configuration = configuration;
		this.timeline = timeline;
		this.metrics = metrics;
	}

	/**
	 * Creates the server.
	 * @param vertx the event loops to use
	 * @param settings the settings of the daemon
	 * @param state the routes in force
	 * @param configuration the configuration in force
	 * @param timeline events of this process
	 * @param metrics metrics of this process
	 * @return the server
	 */
	public static AdminServer create(Vertx vertx, Settings settings, RouterState state,
			ConfigurationKeeper configuration, Timeline timeline, MetricRegistry metrics) {
		return new AdminServer(vertx, settings, state, configuration, timeline, metrics);
	}

	/**
	 * Starts listening.
	 * @return the port
	 */
	public Future<Integer> start() {
		HttpServerOptions options = new HttpServerOptions().setHost(this.settings.getNode().getAddress())
			.setPort(this.settings.getEdge().getAdminPort());
		this.server = this.vertx.createHttpServer(options).requestHandler(this::handle);
		return this.server.listen().map(HttpServer::actualPort);
	}

	/**
	 * Stops listening.
	 * @return completes when everything is closed
	 */
	public Future<Void> stop() {
		return this.server.close();
	}

	private void handle(HttpServerRequest request) {
		HttpServerResponse response = request.response();
		switch (request.path()) {
			case "/live" -> response.end("live\n");
			case "/ready" -> response.setStatusCode(this.state.ready() ? 200 : 503)
				.end(this.state.ready() ? "ready\n" : "not ready\n");
			case "/metrics" ->
				response.putHeader("content-type", "text/plain; version=0.0.4").end(MetricsText.format(this.metrics));
			case API_PREFIX + "configuration" -> sendMessage(response, this.configuration.applied());
			case API_PREFIX + "status" -> sendJson(response, 200, status());
			case API_PREFIX + "changes" -> submit(request, this.configuration::submit);
			case API_PREFIX + "in-force" -> inForce(request);
			case API_PREFIX + "restore" -> submit(request, this.configuration::restore);
			case API_PREFIX + "events" -> events(request);
			default -> sendJson(response, 404, new JsonObject().put("kind", "unknown-path"));
		}
	}

	private JsonObject status() {
		return new JsonObject().put("host", this.settings.getNode().getHost())
			.put("place", this.settings.getNode().getPlace())
			.put("revision", this.state.routes().revision())
			.put("ready", this.state.ready())
			.put("alarms",
					new JsonObject(this.configuration.status()
						.alarms()
						.entrySet()
						.stream()
						.collect(Collectors.toMap((alarm) -> alarm.getKey().name(), Map.Entry::getValue))));
	}

	private void inForce(HttpServerRequest request) {
		String revision = request.getParam("revision", "");
		if (!revision.matches("[0-9]{1,18}")) {
			sendJson(request.response(), 400, new JsonObject().put("kind", "malformed-revision")
				.put("message", "Name a revision, such as in-force?revision=12"));
			return;
		}
		this.configuration.inForce(Long.parseLong(revision))
			.onSuccess((answer) -> sendJson(request.response(), 200, answer.toJson()));
	}

	private void submit(HttpServerRequest request, Function<Change, Future<SubmitResult>> target) {
		if (request.method() != HttpMethod.POST) {
			sendJson(request.response(), 405, new JsonObject().put("kind", "use-post"));
			return;
		}
		request.body()
			.onSuccess((body) -> parse(body, Change.newBuilder())
				.onSuccess((message) -> target.apply(((Change.Builder) message).build())
					.onSuccess((result) -> sendSubmitResult(request.response(), result)))
				.onFailure((cause) -> sendJson(request.response(), 400,
						new JsonObject().put("kind", "malformed-change").put("message", cause.getMessage()))));
	}

	private static void sendSubmitResult(HttpServerResponse response, SubmitResult result) {
		if (result instanceof SubmitResult.Stored stored) {
			sendJson(response, 200, new JsonObject().put("kind", "stored").put("revision", stored.revision()));
		}
		else if (result instanceof SubmitResult.Refused refused) {
			boolean conflict = refused.reason() instanceof EditResult.Conflict;
			sendJson(response, conflict ? 409 : 422, new JsonObject().put("kind", conflict ? "conflict" : "invalid")
				.put("message", refused.reason().toString()));
		}
		else {
			String kind = (result instanceof SubmitResult.Undecided) ? "undecided"
					: (result instanceof SubmitResult.StoreRegressed) ? "store-regressed" : "store-unavailable";
			sendJson(response, 503, new JsonObject().put("kind", kind).put("message", result.toString()));
		}
	}

	private void events(HttpServerRequest request) {
		EventQuery query = EventQuery.newBuilder()
			.setRequestId(request.getParam("request", ""))
			.setSubject(request.getParam("subject", ""))
			.setRevision(Long.parseLong(request.getParam("revision", "0")))
			.setLimit(Integer.parseInt(request.getParam("limit", "1000")))
			.build();
		sendMessage(request.response(), this.timeline.find(query));
	}

	private static Future<Message.Builder> parse(Buffer body, Message.Builder builder) {
		try {
			JsonFormat.parser().merge(body.toString(), builder);
			return Future.succeededFuture(builder);
		}
		catch (InvalidProtocolBufferException ex) {
			return Future.failedFuture(ex);
		}
	}

	private static void sendMessage(HttpServerResponse response, MessageOrBuilder message) {
		try {
			response.putHeader("content-type", "application/json").end(JsonFormat.printer().print(message));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A message of the schema cannot be printed", ex);
		}
	}

	private static void sendJson(HttpServerResponse response, int status, JsonObject json) {
		response.setStatusCode(status).putHeader("content-type", "application/json").end(json.encode());
	}

}
