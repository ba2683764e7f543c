package io.balsamlane.router.service;

import java.util.List;

import io.balsamlane.core.routing.Route;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.balsamlane.router.records.IntentService;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.Settings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;

/**
 * Handles calls of plain services. Repeatable calls are sent at once; the intent of all
 * other calls is recorded first.
 */
public final class ServiceCallHandler {

	private final Vertx vertx;

	private final Settings settings;

	private final IntentService intents;

	private final Timeline timeline;

	private final ReplicaTable replicas = new ReplicaTable();

	private final ReplicaClient client;

	private ServiceCallHandler(Vertx vertx, Settings settings, IntentService intents, Timeline timeline) {
		this.vertx = vertx;
		this.settings = settings;
		this.intents = intents;
		this.timeline = timeline;
		this.client = new ReplicaClient(vertx, settings.getService());
	}

	/**
	 * Create the handler.
	 * @param vertx the event loops to use
	 * @param settings settings of the daemon
	 * @param intents records the intents of non-repeatable calls
	 * @param timeline records events of calls
	 * @return the handler
	 */
	public static ServiceCallHandler create(Vertx vertx, Settings settings, IntentService intents, Timeline timeline) {
		return new ServiceCallHandler(vertx, settings, intents, timeline);
	}

	/**
	 * Handle a call.
	 * @param request the caller's request, whose body has not been read
	 * @param requestId id of the request
	 * @param caller name of the caller, empty for an anonymous one
	 * @param route the replicas that the call may reach
	 * @param uri path and query at the service
	 */
	public void handle(HttpServerRequest request, String requestId, String caller, Route.ToService route, String uri) {
		this.timeline.record(EventKind.REQUEST_ACCEPTED, requestId, 0, route.service().getName(),
				request.method() + " " + uri);
		int query = uri.indexOf('?');
		String path = (query >= 0) ? uri.substring(0, query) : uri;
		boolean repeatable = matches(route.service().getRepeatableList(), request.method().name(), path);
		String key = request.getHeader("Idempotency-Key");
		if (!repeatable && (key == null || key.isBlank())) {
			Refusal
				.of(400, "idempotency-key-missing", Ran.NO,
						"this call is not repeatable and requires an Idempotency-Key",
						"Send a key that is unique to this call, and send the same key when you repeat it")
				.send(request.response());
			return;
		}
		CallBody.read(request, this.settings.getService().getKeptBodyBytes()).onSuccess((body) -> {
			ServiceCall call = new ServiceCall(request, requestId, caller, route, uri, body);
			if (repeatable) {
				boolean hedged = matches(route.service().getHedgedList(), request.method().name(), path);
				new RepeatableCall(this.vertx, this.replicas, this.client, call, hedged,
						this.settings.getService().getCallTimeoutMillis())
					.start();
			}
			else {
				createRecordedCall(call).start(this.settings.getNode().getHost(), key);
			}
		});
	}

	private RecordedCall createRecordedCall(ServiceCall call) {
		// Twice the decision timeout also covers the return to the event loop. The limit
		// of half the retention keeps the window shorter than the retention.
		long windowMillis = Math.min(2L * this.settings.getRecords().getDecisionTimeoutMillis(),
				this.settings.getRecords().getRetentionSeconds() * 500L);
		return new RecordedCall(this.replicas, this.client, this.intents, this.timeline, call,
				this.settings.getRecords().getMaxAnswerBytes(), windowMillis * 1_000_000);
	}

	/**
	 * Return whether a call matches one of the given patterns. The pattern "GET" matches
	 * all paths; "GET /status" matches that path and all paths below it.
	 * @param patterns the patterns
	 * @param method the HTTP method
	 * @param path the path at the service
	 * @return true if a pattern matches
	 */
	static boolean matches(List<String> patterns, String method, String path) {
		return patterns.stream().anyMatch((pattern) -> {
			int space = pattern.indexOf(' ');
			if (space < 0) {
				return pattern.equals(method);
			}
			String prefix = pattern.substring(space + 1);
			return pattern.substring(0, space).equals(method)
					&& (path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/"));
		});
	}

}
