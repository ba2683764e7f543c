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
 * Guards against a router that goes on with its old orders after it was paused for longer
 * than its lease.
 */
@Tag("proof")
class OrdersProofTests {

	private static final int ENGINES = 3;

	/** Exit code of the tool when a change is in force on every router. */
	private static final int EVERYWHERE = 0;

	/** Exit code when a router, here the paused or killed one, does not have it yet. */
	private static final int NOT_EVERYWHERE = 5;

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final Map<String, String> SETTINGS = Map.of("orders.lease_millis", "2000", "orders.order_millis",
			"500", "orders.retry_millis", "50", "orders.verify_millis", "100", "orders.loads_per_minute", "120",
			"store.watch_wait_millis", "100", "store.call_timeout_millis", "1500");

	@TempDir
	private Path directory;

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void pausedHolderIssuesNoOrderAfterItsSuccessor(boolean checksFencing) throws Exception {
		try (Fleet fleet = Fleet.create(100)) {
			IntStream.range(0, ENGINES)
				.forEach((i) -> fleet.engine("engine-" + i, "draft", "doto-a", "doto", options(checksFencing)));
			fleet.router("router-1", "doto-a", "doto", SETTINGS);
			fleet.router("router-2", "doto-a", "doto", SETTINGS);
			fleet.apply(pool("v1", checksFencing));
			awaitModel(fleet, "v1");
			RouterProcess first = holder(fleet);
			RouterProcess second = other(fleet, first);
			apply(second, pool("v2", checksFencing), EVERYWHERE);
			Fleet.await("the holder is in the middle of its orders", LIMIT,
					() -> IntStream.range(0, ENGINES).anyMatch((i) -> model(fleet, i).equals("v2")));
			first.process().pause();
			assertThat(IntStream.range(0, ENGINES).allMatch((i) -> model(fleet, i).equals("v2"))).isFalse();
			long oldFencing = orders(fleet, 0).stream()
				.mapToLong((order) -> order.getLong("fencing"))
				.max()
				.orElseThrow();

			apply(second, pool("v3", checksFencing), NOT_EVERYWHERE);
			awaitModel(fleet, "v3");
			// The store answers late now, so the old holder cannot learn of v3 before it
			// could go on with v2.
			fleet.faults("store", new JsonObject().put("delayMillis", 700));
			first.process().resume();
			// Long enough for several rounds of orders: what must not happen gives no
			// condition to wait for.
			TimeUnit.SECONDS.sleep(3);
			fleet.faults("store", new JsonObject().put("delayMillis", 0));

			for (int i = 0; i < ENGINES; i++) {
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
	 * Guards against an engine that stays in the state of an earlier holder when it was
	 * frozen with that holder's order and so breaks the timing assumption.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void orderThatArrivesAfterTheLeaseIsRefusedOrRepaired(boolean checksFencing) throws Exception {
		try (Fleet fleet = Fleet.create(100)) {
			fleet.engine("engine-0", "draft", "doto-a", "doto", options(checksFencing));
			fleet.router("router-1", "doto-a", "doto", SETTINGS);
			fleet.router("router-2", "doto-a", "doto", SETTINGS);
			fleet.apply(pool("v1", checksFencing));
			awaitModel(fleet, "v1", 1);
			// Adapters are ordered after the model; the held order must be that of v2.
			Fleet.await("the adapters of v1 are loaded", LIMIT,
					() -> book(fleet, 0).getJsonArray("adapters").contains("letters")
							&& book(fleet, 0).getInteger("pendingOrders") == 0);
			RouterProcess first = holder(fleet);
			RouterProcess second = other(fleet, first);
			steer(fleet, new JsonObject().put("hold", true));
			apply(second, pool("v2", checksFencing), EVERYWHERE);
			Fleet.await("the order of the holder to load v2 is held", LIMIT, () -> heldLoad(fleet).isPresent());
			long heldFencing = heldLoad(fleet).orElseThrow().getLong("fencing");
			first.process().kill();
			steer(fleet, new JsonObject().put("hold", false));
			apply(second, pool("v3", checksFencing), NOT_EVERYWHERE);
			awaitModel(fleet, "v3", 1);
			steer(fleet, new JsonObject().put("release", true));
			List<JsonObject> late = orders(fleet, 0).stream()
				.filter((order) -> order.getString("value").equals("v2"))
				// The successor may order v2 before it learns of v3.
				.filter((order) -> order.getLong("fencing") == heldFencing)
				.toList();
			assertThat(late).isNotEmpty().allMatch((order) -> order.getBoolean("accepted") != checksFencing);
			Fleet.await("the last accepted order loads v3 or its adapters", LIMIT, () -> {
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
		Fleet.await("one router holds the lease", LIMIT,
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

	private static void steer(Fleet fleet, JsonObject faults) {
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
	 * Applies through one router; {@link Fleet#apply(String)} waits for all of them, also
	 * for a paused one.
	 */
	private void apply(RouterProcess router, String objects, int expectedExit) throws IOException {
		Path file = Files.writeString(Files.createTempFile(this.directory, "objects-", ".ini"), objects);
		ChildProcess tool = ChildProcess.start("tool", this.directory, List.of("-Xmx96m", "-XX:+UseSerialGC"),
				"io.balsamlane.cli.ControlMain",
				List.of("--server", router.adminUrl(""), "apply", "--file", file.toString()));
		assertThat(tool.awaitExit(LIMIT)).as(tool.output() + tool.errors()).isEqualTo(expectedExit);
	}

	private static void awaitModel(Fleet fleet, String model) {
		awaitModel(fleet, model, ENGINES);
	}

	private static void awaitModel(Fleet fleet, String model, int engines) {
		Fleet.await("every engine runs " + model, LIMIT,
				() -> IntStream.range(0, engines).allMatch((i) -> model(fleet, i).equals(model)));
	}

	private static JsonObject book(Fleet fleet, int engine) {
		return new JsonObject(fleet.inspect("engine-" + engine, "orders"));
	}

	private static Optional<JsonObject> heldLoad(Fleet fleet) {
		return objects(book(fleet, 0).getJsonArray("heldOrders")).stream()
			.filter((order) -> order.getString("value").equals("v2"))
			.findFirst();
	}

	private static String model(Fleet fleet, int engine) {
		return book(fleet, engine).getString("model");
	}

	private static List<JsonObject> orders(Fleet fleet, int engine) {
		return objects(book(fleet, engine).getJsonArray("orders"));
	}

	private static List<JsonObject> objects(JsonArray array) {
		return IntStream.range(0, array.size()).mapToObj(array::getJsonObject).toList();
	}

}
