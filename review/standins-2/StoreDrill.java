package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The store is away for a moment and comes back from a copy some seconds old. Afterwards
 * the operator sends a new configuration, which the store acknowledges.
 */
final class StoreDrill {

	private static final String HOST = "ficu95.example";

	/** Replicas of the old service, and of the one to which the route is moved. */
	private static final int OLD_REPLICAS = 10;

	private static final int NEW_REPLICAS = 3;

	/**
	 * One drill.
	 *
	 * @param routers number of routers
	 * @param silent true if the connections of before stay silent, false if they are reset
	 * @param copyAgeMillis age of the copy
	 * @param awayMillis time for which the store is away
	 * @param againMillis time after which the operator has written its configuration again
	 * @param changeMillis time from then until the operator changes the configuration
	 * @param judgedAfterMillis time from the acknowledgement to the first judged request:
	 * more than config_apply_ms + max_stretch_ms, and more than contact_ms
	 */
	record Plan(int routers, boolean silent, long copyAgeMillis, long awayMillis,
			long againMillis, long changeMillis, long judgedAfterMillis) {
	}

	/** A fleet in which one router reads the store for the others of its region. */
	static final Plan LARGE_FLEET = new Plan(18, false, 8000, 100, 200, 5500, 13_000);

	/** A small fleet, whose open connections to the store go silent without a reset. */
	static final Plan SMALL_FLEET = new Plan(7, true, 2000, 300, 200, 300, 9500);

	private StoreDrill() {
	}

	private static Map<String, Object> route(String name, String prefix, String service) {
		return Json.of("name", name, "host", HOST, "prefix", prefix, "kind", "idempotent", "timeout_ms", 2000,
				"target_latency_ms", 400, "priority", 2, "service", service, "max_attempts", 2);
	}

	private static Map<String, Object> service(String name) {
		return Json.of("name", name, "health_path", "/health", "max_conns", 100, "protocol", "h1", "tls", false);
	}

	private static Map<String, Object> configuration(long version, Object... routes) {
		return Json.of("version", version, "routes", List.of(routes), "services",
				List.of(service("ledger"), service("ledger-next")), "limits", Json.of("max_header_bytes", 16384,
						"max_body_bytes", 4194304, "header_timeout_ms", 3000, "idle_timeout_ms", 15000));
	}

	// All routers watch the configuration for 3 s at a time, in step since their start. The
	// copy is taken about 1.5 s after they began, so that the store leaves in the first
	// half second of the next watches.
	private static void awaitWatches(Store store) throws InterruptedException {
		long begun = store.configurationWatches();
		while (store.configurationWatches() == begun) {
			Thread.sleep(20);
		}
		Thread.sleep(1600);
	}

	/** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
	static int run(Recorder record, Path folder, Plan plan, boolean trouble) throws Exception {
		Store store = Store.start(record);
		Routers routers = Routers.create(record, folder, store.port());
		if (plan.routers() > 10) {
			routers.useGrownBounds();
		}
		try {
			Map<String, Object> first = configuration(7, route("status", "/status/", "ledger"));
			store.put("op/config", first);
			for (int index = 0; index < OLD_REPLICAS + NEW_REPLICAS; index++) {
				Replica.start(record, store, "i-a" + index, (index < OLD_REPLICAS) ? "ledger" : "ledger-next");
			}
			for (int index = 0; index < plan.routers(); index++) {
				routers.start(index, 0, 1, 2);
			}
			for (int index = 0; index < plan.routers(); index++) {
				if (!routers.awaitReady(index, 30_000)) {
					return 2;
				}
			}
			// The routers find each other, and one becomes the reader of the store.
			Thread.sleep(6000);
			Caller caller = new Caller(record);
			for (int index = 0; index < plan.routers(); index++) {
				if (!caller.send(routers.front(index), "GET", HOST, "/status/before", 2000).success()) {
					return 2;
				}
			}
			if (plan.silent()) {
				awaitWatches(store);
			}
			Store.Copy copy = store.copy();
			Thread.sleep(plan.copyAgeMillis());
			if (trouble) {
				if (plan.silent()) {
					store.leave();
				}
				else {
					store.leaveWithReset();
				}
				Thread.sleep(plan.awayMillis());
				store.comeBackFrom(copy);
			}
			Thread.sleep(plan.againMillis());
			store.put("op/config", first);
			record.line("operator: version 7 written again");
			Thread.sleep(plan.changeMillis());
			long revision = store.put("op/config",
					configuration(9, route("status", "/status/", "ledger-next"), route("added", "/added/", "ledger")));
			record.line("operator: version 9 acknowledged at revision " + revision);
			Thread.sleep(plan.judgedAfterMillis());
			int broken = 0;
			TreeSet<Integer> stale = new TreeSet<>();
			for (int round = 0; round < 3; round++) {
				for (int index = 0; index < plan.routers(); index++) {
					Caller.Answer moved = caller.send(routers.front(index), "GET", HOST, "/status/" + round, 2000);
					if (moved.success() && moved.body().startsWith("ledger ")) {
						record.line("broken: router " + index + ": run by the old service");
						broken++;
						stale.add(index);
					}
					if (caller.send(routers.front(index), "GET", HOST, "/added/" + round, 2000).status() == 404) {
						record.line("broken: router " + index + ": 404 though the route is there");
						broken++;
						stale.add(index);
					}
				}
				Thread.sleep(1500);
			}
			for (int index = 0; index < plan.routers(); index++) {
				int router = index;
				List<String> applied = new ArrayList<>(Files.readAllLines(routers.log(index).toPath()));
				applied.removeIf((line) -> !line.contains("configuration-applied"));
				applied.forEach((line) -> record.line("log of router " + router + ": " + line));
			}
			record.line(stale.size() + " of " + plan.routers() + " routers, " + broken
					+ " requests handled as only version 7 allows");
			return (broken == 0) ? 0 : 1;
		}
		finally {
			routers.stopAll();
		}
	}

}
