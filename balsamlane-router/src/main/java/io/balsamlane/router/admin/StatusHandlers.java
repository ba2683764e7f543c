package io.balsamlane.router.admin;

import io.balsamlane.core.time.HybridClock;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.MemberSync;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Handlers for requests about the state of this router and the events of all routers.
 */
final class StatusHandlers {

	private static final int MAX_EVENTS = 10_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int HYBRID_COUNTER_BITS = 16;

	private final NodeSettings node;

	private final AdminContext context;

	StatusHandlers(Settings settings, AdminContext context) {
		this.node = settings.getNode();
		this.context = context;
	}

	OperatorResponse ready() {
		boolean ready = this.context.state().ready();
		return OperatorResponse.text(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
	}

	Future<OperatorResponse> read() {
		JsonArray members = new JsonArray();
		this.context.network()
			.members()
			.members()
			.forEach((member) -> members
				.add(new JsonObject().put("host", member.host().value()).put("place", member.place().value())));
		return Future.succeededFuture(OperatorResponse.json(200,
				new JsonObject().put("host", this.node.getHost())
					.put("place", this.node.getPlace())
					.put("region", this.node.getRegion())
					.put("revision", this.context.state().routes().revision())
					.put("ready", this.context.state().ready())
					.put("draining", this.context.state().draining())
					.put("requestsInProgress", this.context.inProgress().get())
					.put("storeAgeMillis", this.context.metrics().storeAgeNanos() / NANOS_PER_MILLI)
					.put("alarms", alarms())
					.put("members", members)));
	}

	private JsonObject alarms() {
		JsonObject alarms = new JsonObject();
		this.context.configuration().status().alarms().forEach((kind, message) -> alarms.put(kind.name(), message));
		return alarms;
	}

	Future<OperatorResponse> members() {
		return this.context.memberTable()
			.get()
			.map((members) -> OperatorResponse.message(MemberSync.newBuilder().addAllMembers(members)))
			.otherwise((cause) -> OperatorResponse.error(503, "busy", cause.getMessage(), "Try again"));
	}

	Future<OperatorResponse> drain() {
		this.context.drain().run();
		return Future.succeededFuture(OperatorResponse.json(202,
				new JsonObject().put("kind", "draining")
					.put("host", this.node.getHost())
					.put("requestsInProgress", this.context.inProgress().get())));
	}

	Future<OperatorResponse> events(HttpServerRequest request) {
		EventQuery.Builder query = EventQuery.newBuilder()
			.setRequestId(request.getParam("request", ""))
			.setSubject(request.getParam("subject", ""))
			.setHost(request.getParam("host", ""));
		try {
			query.setRevision(Long.parseLong(request.getParam("revision", "0")))
				.setFromHybridTime(toHybridTime(request.getParam("from", "0")))
				.setToHybridTime(toHybridTime(request.getParam("to", "0")))
				.setLimit(Math.min(MAX_EVENTS, Integer.parseInt(request.getParam("limit", "1000"))));
		}
		catch (NumberFormatException ex) {
			return Future.succeededFuture(
					OperatorResponse.error(400, "malformed-query", "A parameter is not a number: " + ex.getMessage(),
							"Send revision and limit as numbers, from and to as milliseconds since 1970"));
		}
		return this.context.events().collect(query.build()).map(OperatorResponse::message);
	}

	/**
	 * Convert a wall clock time to a hybrid time.
	 * @param epochMillis the time in milliseconds since the epoch, as text
	 * @return the hybrid time
	 * @see HybridClock#epochMillis(long)
	 */
	private static long toHybridTime(String epochMillis) {
		return Long.parseLong(epochMillis) << HYBRID_COUNTER_BITS;
	}

}
