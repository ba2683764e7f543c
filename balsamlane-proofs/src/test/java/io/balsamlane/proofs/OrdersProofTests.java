package io.balsamlane.proofs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.balsamlane.standin.fleet.ChildProcess;
import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.fleet.RouterProcess;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a router that continues to issue its old orders after a pause that is
 * longer than its lease.
 */
@Tag("proof")
class OrdersProofTests {

	private static final int ENGINE_COUNT = 3;

	/** Exit code of the command-line tool when a change is in force on every router. */
	private static final int EXIT_IN_FORCE = 0;

	/** Exit code when a router, here the paused or killed one, lacks the change. */
	private static final int EXIT_NOT_IN_FORCE = 5;

	private static final Duration AWAIT_LIMIT = Duration.ofSeconds(20);

	private static final Map<String, String> ROUTER_SETTINGS = Map.of("orders.lease_millis", "2000",
			"orders.order_millis", "500", "orders.retry_millis", "50", "orders.verify_millis", "100",
			"orders.loads_per_minute", "120", "store.watch_wait_millis", "100", "store.call_timeout_millis", "1500");

	@TempDir
	private Path directory;

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void pausedHolderIssuesNoOrderAfterItsSuccessor(boolean checksFencing) throws Exception {
		try (Fleet fleet = Fleet.create(100)) {
			IntStream.range(0, ENGINE_COUNT)
				.forEach((i) -> fleet.engine("engine-" + i, "draft", "doto-a", "doto", options(checksFencing)));
			fleet.router("router-1", "doto-a", "doto", ROUTER_SETTINGS);
			fleet.router("router-2", "doto-a", "doto", ROUTER_SETTINGS);
			fleet.apply(pool("v1", checksFencing));
			awaitModel(fleet, "v1");
			RouterProcess first = holder(fleet);
			RouterProcess second = other(fleet, first);
			apply(second, pool("v2", checksFencing), EXIT_IN_FORCE);
			Fleet.await("the holder is in the middle of its orders", AWAIT_LIMIT,
					() -> IntStream.range(0, ENGINE_COUNT).anyMatch((i) -> model(fleet, i).equals("v2")));
			first.process().pause();
			assertThat(IntStream.range(0, ENGINE_COUNT).allMatch((i) -> model(fleet, i).equals("v2"))).isFalse();
			long oldFencing = orders(fleet, 0).stream()
				.mapToLong((order) -> order.getLong("fencing"))
				.max()
				.orElseThrow();

			apply(second, pool("v3", checksFencing), EXIT_NOT_IN_FORCE);
			awaitModel(fleet, "v3");
			// Delayed store answers keep the old holder from learning of v3 before it
			// could continue with v2.
			fleet.faults("store", new JsonObject().put("delayMillis", 700));
			first.process().resume();
			// Long enough for several rounds of orders. The absence of orders offers no
			// condition to wait for.
			TimeUnit.SECONDS.sleep(3);
			fleet.faults("store", new JsonObject().put("delayMillis", 0));

			for (int i = 0; i < ENGINE_COUNT; i++) {
				List<Long> accepted = orders(fleet, i).stream()
					.filter((order) -> order.getBoolean("accepted"))
					.map((order) -> order.getLong("fencing"))
					.toList();
				assertThat(accepted).as("fencing numbers at engine-%d", i).isSorted();
				assertThat(accepted.get(accepted.size() - 1)).isGreaterThan(oldFencing);
			}
			awaitModel(fleet, "v3");
		}
	}

	/**
	 * Guards against an engine that remains in the state ordered by an earlier holder,
	 * because it was frozen with that holder's order, which breaks the timing assumption.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void orderArrivingAfterItsLeaseIsRefusedOrCorrected(boolean checksFencing) throws Exception {
		try (Fleet fleet = Fleet.create(100)) {
			fleet.engine("engine-0", "draft", "doto-a", "doto", options(checksFencing));
			fleet.router("router-1", "doto-a", "doto", ROUTER_SETTINGS);
			fleet.router("router-2", "doto-a", "doto", ROUTER_SETTINGS);
			fleet.apply(pool("v1", checksFencing));
			awaitModel(fleet, "v1", 1);
			// Adapters are ordered after the model; the held order must load v2.
			Fleet.await("the adapters of v1 are loaded", AWAIT_LIMIT,
					() -> orderStatus(fleet, 0).getJsonArray("adapters").contains("letters")
							&& orderStatus(fleet, 0).getInteger("pendingOrders") == 0);
			RouterProcess first = holder(fleet);
			RouterProcess second = other(fleet, first);
			setOrderFaults(fleet, new JsonObject().put("hold", true));
			apply(second, pool("v2", checksFencing), EXIT_IN_FORCE);
			Fleet.await("the order of the holder to load v2 is held", AWAIT_LIMIT, () -> heldLoad(fleet).isPresent());
			long heldFencing = heldLoad(fleet).orElseThrow().getLong("fencing");
			first.process().kill();
			setOrderFaults(fleet, new JsonObject().put("hold", false));
			apply(second, pool("v3", checksFencing), EXIT_NOT_IN_FORCE);
			awaitModel(fleet, "v3", 1);
			setOrderFaults(fleet, new JsonObject().put("release", true));
			List<JsonObject> late = orders(fleet, 0).stream()
				.filter((order) -> order.getString("value").equals("v2"))
				// Excludes the successor, which may order v2 before it learns of v3.
				.filter((order) -> order.getLong("fencing") == heldFencing)
				.toList();
			assertThat(late).isNotEmpty().allMatch((order) -> order.getBoolean("accepted") != checksFencing);
			Fleet.await("the last accepted order loads v3 or its adapters", AWAIT_LIMIT, () -> {
				List<JsonObject> accepted = orders(fleet, 0).stream()
					.filter((order) -> order.getBoolean("accepted"))
					.toList();
				return !accepted.get(accepted.size() - 1).getString("value").equals("v2");
			});
			awaitModel(fleet, "v3", 1);
		}
	}

	private static String[] options(boolean checksFencing) {
		return checksFencing ? new String[] { "--order-millis", "100" }
				: new String[] { "--order-millis", "100", "--ignore-fencing" };
	}

	private static RouterProcess holder(Fleet fleet) {
		Fleet.await("one router holds the lease", AWAIT_LIMIT,
				() -> fleet.routers().stream().filter((router) -> holds(fleet, router)).count() == 1);
		return fleet.routers().stream().filter((router) -> holds(fleet, router)).findFirst().orElseThrow();
	}

	private static boolean holds(Fleet fleet, RouterProcess router) {
		return fleet.http()
			.get(router.adminUrl("/metrics"))
			.body()
			.lines()
			.anyMatch((line) -> line.equals("balsamlane_order_leases_held 1"));
	}

	private static RouterProcess other(Fleet fleet, RouterProcess holder) {
		return fleet.routers().stream().filter((router) -> router != holder).findFirst().orElseThrow();
	}

	private static void setOrderFaults(Fleet fleet, JsonObject faults) {
		fleet.http().send("POST", fleet.standInUrl("engine-0", "/stand-in/orders"), faults.encode(), Map.of());
	}

	private static String pool(String model, boolean checksFencing) {
		return """
				[pool draft]
				role = decode
				model = %s
				place = doto-a
				adapters = letters
				orders = true
				checks_fencing = %s
				""".formatted(model, checksFencing);
	}

	/**
	 * Apply objects through one router. {@link Fleet#apply(String)} cannot be used here,
	 * because it waits for all routers, including a paused one.
	 */
	private void apply(RouterProcess router, String objects, int expectedExit) throws IOException {
		Path file = Files.writeString(Files.createTempFile(this.directory, "objects-", ".ini"), objects);
		ChildProcess tool = ChildProcess.start("tool", this.directory, List.of("-Xmx96m", "-XX:+UseSerialGC"),
				"io.balsamlane.cli.ControlMain",
				List.of("--server", router.adminUrl(""), "apply", "--file", file.toString()));
		assertThat(tool.awaitExit(AWAIT_LIMIT)).as(tool.output() + tool.errors()).isEqualTo(expectedExit);
	}

	private static void awaitModel(Fleet fleet, String model) {
		awaitModel(fleet, model, ENGINE_COUNT);
	}

	private static void awaitModel(Fleet fleet, String model, int engines) {
		Fleet.await("every engine runs " + model, AWAIT_LIMIT,
				() -> IntStream.range(0, engines).allMatch((i) -> model(fleet, i).equals(model)));
	}

	private static JsonObject orderStatus(Fleet fleet, int engine) {
		return new JsonObject(fleet.inspect("engine-" + engine, "orders"));
	}

	private static Optional<JsonObject> heldLoad(Fleet fleet) {
		return objects(orderStatus(fleet, 0).getJsonArray("heldOrders")).stream()
			.filter((order) -> order.getString("value").equals("v2"))
			.findFirst();
	}

	private static String model(Fleet fleet, int engine) {
		return orderStatus(fleet, engine).getString("model");
	}

	private static List<JsonObject> orders(Fleet fleet, int engine) {
		return objects(orderStatus(fleet, engine).getJsonArray("orders"));
	}

	private static List<JsonObject> objects(JsonArray array) {
		return IntStream.range(0, array.size()).mapToObj(array::getJsonObject).toList();
	}

}
