package io.balsamlane.proofs;

import java.time.Duration;
import java.util.Map;

import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.FleetHttp.Answer;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Starts routers in two regions and one plain service. The selector {@code gate} decides
 * whether requests may reach the service, so the next request shows which configuration
 * revision a router uses.
 */
final class ConfigurationFleet implements AutoCloseable {

	static final Duration IN_FORCE_TARGET = Duration.ofSeconds(4);

	private static final String OBJECTS = """
			[service ledger]
			repeatable = GET
			[selector gate]
			cross_region = true
			""";

	private final Fleet fleet = Fleet.create(100);

	/**
	 * Start routers and wait until each of them knows all others and admits requests.
	 * @param routers the number of routers
	 */
	ConfigurationFleet(int routers) {
		this.fleet.service("ledger-1", "ledger", "doto-a", "doto");
		for (int number = 1; number <= routers; number++) {
			start(number);
		}
		this.fleet.apply(OBJECTS);
		this.fleet.routers()
			.forEach((router) -> Fleet.await("the gate is open on all routers", Duration.ofSeconds(15),
					() -> admits(router) && members(router) == routers));
	}

	RouterProcess start(int number) {
		boolean doto = number % 2 == 1;
		return this.fleet.router("router-" + number, doto ? "doto-a" : "dohoku-a", doto ? "doto" : "dohoku", Map.of());
	}

	Fleet fleet() {
		return this.fleet;
	}

	RouterProcess router(int number) {
		return this.fleet.router("router-" + number);
	}

	boolean admits(RouterProcess router) {
		return this.fleet.http().get(router.callerUrl("/services/ledger/status")).status() == 200;
	}

	private int members(RouterProcess router) {
		return new JsonObject(this.fleet.http().get(router.adminUrl("/admin/v1/status")).body()).getJsonArray("members")
			.size();
	}

	/**
	 * Submit a change of the gate.
	 * @param router the router that receives the change
	 * @param id the id of the change
	 * @param open whether requests are admitted
	 * @param expectedRevision the revision of the gate that the operator saw
	 * @return the answer of the router
	 */
	Answer submit(RouterProcess router, String id, boolean open, long expectedRevision) {
		JsonObject selector = new JsonObject().put("crossRegion", true).put("requests", open ? "" : "caller = nobody");
		JsonObject object = new JsonObject().put("kind", "SELECTOR")
			.put("name", "gate")
			.put("expectedRevision", expectedRevision)
			.put("selector", selector);
		JsonObject change = new JsonObject().put("changeId", id).put("objects", new JsonArray().add(object));
		return this.fleet.http().send("POST", router.adminUrl("/admin/v1/changes"), change.encode(), Map.of());
	}

	static long revision(Answer stored) {
		return new JsonObject(stored.body()).getLong("revision");
	}

	JsonObject inForce(RouterProcess asked, long revision) {
		return new JsonObject(this.fleet.http().get(asked.adminUrl("/admin/v1/in-force?revision=" + revision)).body());
	}

	JsonObject configuration(RouterProcess router) {
		return new JsonObject(this.fleet.http().get(router.adminUrl("/admin/v1/configuration")).body());
	}

	@Override
	public void close() {
		this.fleet.close();
	}

}
