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
 * Answers requests about the state of this router and the events of all routers.
 */
final class StatusHandlers {

	private static final int MAX_EVENTS = 10_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int HYBRID_COUNTER_BITS = 16;

	private final NodeSettings node;

	private final OperatorParts parts;

	StatusHandlers(Settings settings, OperatorParts parts) {
		this.node = settings.getNode();
		this.parts = parts;
	}

	OperatorAnswer ready() {
		boolean ready = this.parts.state().ready();
		return OperatorAnswer.text(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
	}

	Future<OperatorAnswer> read() {
		JsonArray members = new JsonArray();
		this.parts.network()
			.members()
			.members()
			.forEach((member) -> members
				.add(new JsonObject().put("host", member.host().value()).put("place", member.place().value())));
		return Future.succeededFuture(OperatorAnswer.json(200,
				new JsonObject().put("host", this.node.getHost())
					.put("place", this.node.getPlace())
					.put("region", this.node.getRegion())
					.put("revision", this.parts.state().routes().revision())
					.put("ready", this.parts.state().ready())
					.put("draining", this.parts.state().draining())
					.put("requestsInProgress", this.parts.inProgress().get())
					.put("storeAgeMillis", this.parts.metrics().storeAgeNanos() / NANOS_PER_MILLI)
					.put("alarms", alarms())
					.put("members", members)));
	}

	private JsonObject alarms() {
		JsonObject alarms = new JsonObject();
		this.parts.configuration().status().alarms().forEach((kind, message) -> alarms.put(kind.name(), message));
		return alarms;
	}

	Future<OperatorAnswer> members() {
		return this.parts.memberTable()
			.get()
			.map((members) -> OperatorAnswer.message(MemberSync.newBuilder().addAllMembers(members)))
			.otherwise((cause) -> OperatorAnswer.error(503, "busy", cause.getMessage(), "Try again"));
	}

	Future<OperatorAnswer> drain() {
		this.parts.drain().run();
		return Future.succeededFuture(OperatorAnswer.json(202,
				new JsonObject().put("kind", "draining")
					.put("host", this.node.getHost())
					.put("requestsInProgress", this.parts.inProgress().get())));
	}

	Future<OperatorAnswer> events(HttpServerRequest request) {
		EventQuery.Builder query = EventQuery.newBuilder()
			.setRequestId(request.getParam("request", ""))
			.setSubject(request.getParam("subject", ""))
			.setHost(request.getParam("host", ""));
		try {
			query.setRevision(Long.parseLong(request.getParam("revision", "0")))
				.setFromHybridTime(hybrid(request.getParam("from", "0")))
				.setToHybridTime(hybrid(request.getParam("to", "0")))
				.setLimit(Math.min(MAX_EVENTS, Integer.parseInt(request.getParam("limit", "1000"))));
		}
		catch (NumberFormatException ex) {
			return Future.succeededFuture(
					OperatorAnswer.error(400, "malformed-query", "A parameter is not a number: " + ex.getMessage(),
							"Send revision and limit as numbers, from and to as milliseconds since 1970"));
		}
		return this.parts.events().collect(query.build()).map(OperatorAnswer::message);
	}

	/**
	 * Converts milliseconds to a hybrid time.
	 * @param epochMillis milliseconds since 1970, as text
	 * @return the hybrid time
	 * @see HybridClock#epochMillis(long)
	 */
	private static long hybrid(String epochMillis) {
		return Long.parseLong(epochMillis) << HYBRID_COUNTER_BITS;
	}

}
