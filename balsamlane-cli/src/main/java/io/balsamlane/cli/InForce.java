package io.balsamlane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Routers on which a revision is in force, and routers on which it is not known to be.
 *
 * @param hosts routers that apply the revision or a later one
 * @param missing all other routers
 */
record InForce(List<String> hosts, List<String> missing) {

	private static final int NOT_FOUND = 404;

	InForce {
		hosts = List.copyOf(hosts);
		missing = List.copyOf(missing);
	}

	boolean everywhere() {
		return this.missing.isEmpty() && !this.hosts.isEmpty();
	}

	/**
	 * Asks the routers.
	 * @param routers access to the routers
	 * @param revision the revision
	 * @return the present state
	 */
	static InForce read(RouterClient routers, long revision) {
		RouterClient.Answer answer = routers.get("in-force?revision=" + revision);
		if (answer.status() != NOT_FOUND) {
			JsonObject json = RouterClient.require(answer).json();
			return new InForce(names(json, "inForce"), names(json, "missing"));
		}
		List<String> hosts = new ArrayList<>();
		List<String> missing = new ArrayList<>();
		routers.servers().forEach((server) -> {
			Optional<JsonObject> status = routers.getFrom(server, "status")
				.filter(RouterClient.Answer::done)
				.map(RouterClient.Answer::json);
			boolean applied = status.isPresent() && status.get().getLong("revision", 0L) >= revision;
			String host = status.map((json) -> json.getString("host")).orElse(server.toString());
			(applied ? hosts : missing).add(host);
		});
		return new InForce(hosts, missing);
	}

	private static List<String> names(JsonObject json, String key) {
		return json.getJsonArray(key, new JsonArray()).stream().map(String::valueOf).toList();
	}

}
