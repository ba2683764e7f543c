import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A new version adds a further key to those that a tenant has. */
public final class ManyKeys {

	/** Keys of the tenant before the change. */
	private static final int KEYS = 16;

	/** {@code config_apply_ms} of the site. */
	private static final long BOUND_MILLIS = 4000;

	private static final int REQUESTS = 100;

	/** Later lines replace earlier ones. */
	private static final String SITE_SETTINGS = """
			contracts=base,drain,config,cost,retry,recover,health,pool,split,stream,engine,tenants,quota,pressure,platform
			bounds.contact_ms=5000
			bounds.drain_ms=4000
			bounds.config_apply_ms=4000
			bounds.max_stretch_ms=8000
			bounds.quota_window_s=8
			bounds.quota_excess=0.1
			bounds.quota_tolerance=140000""";

	private ManyKeys() {
	}

	public static void main(String[] args) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Recorder record = new Recorder(Path.of(args[0], "record.txt"))) {
			System.exit(run(record, trouble));
		}
		catch (Exception ex) {
			ex.printStackTrace();
			System.exit(2);
		}
	}

	private static int run(Recorder record, boolean trouble) throws Exception {
		Store store = new Store();
		int storePort = store.listen(new AtomicBoolean());
		List<Replica> replicas = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			replicas.add(new Replica("i-taquilla-" + number, "taquilla", "a", "", (connection) -> {
				Http.readBody(connection.in, connection.head);
				record.line("request %s of tenant %s runs", connection.requestId(),
						connection.head.header("X-Balsamlane-Tenant-Id"));
				Replica.sleep(20);
				connection.respond(200, "seat");
				return true;
			}));
		}
		for (Replica replica : replicas) {
			replica.register(store);
		}
		List<String> keys = IntStream.rangeClosed(1, KEYS).mapToObj((number) -> "key-" + number).collect(Collectors.toList());
		store.write("op/config", configuration(2, keys));
		Path directory = Deployment.temporaryDirectory();
		int peerPort = Router.freePort("127.0.0.36");
		try (Router router = new Router(directory, "edge-a-1", "127.0.0.36", "a", peerPort, storePort,
				List.of("127.0.0.36"), SITE_SETTINGS)) {
			router.start();
			if (!router.awaitReady(replicas.size(), 30_000)) {
				record.result("the router did not become ready: %s", router.output());
				return 2;
			}
			record.line("router process %d is ready; trouble: %s", router.pid(), trouble);
			Replica.sleep(6000);
			record.line("before the change, key-1: %d", call(router, record, "key-1"));
			if (!trouble) {
				keys.remove(KEYS - 1);
			}
			keys.add("key-new");
			store.write("op/config", configuration(3, keys));
			record.line("the store has acknowledged version 3, in which the tenant has %d keys, key-new among them",
					keys.size());
			Replica.sleep(BOUND_MILLIS + 1000);
			Map<Integer, Integer> statuses = new TreeMap<>();
			for (int number = 0; number < REQUESTS; number++) {
				statuses.merge(call(router, record, "key-new"), 1, Integer::sum);
			}
			record.result("requests with the key that version 3 added, later than %d ms after its acknowledgement, by status: %s",
					BOUND_MILLIS, statuses);
			return statuses.containsKey(401) ? 1 : (statuses.getOrDefault(200, 0) > 0) ? 0 : 2;
		}
	}

	private static String configuration(long version, List<String> keys) {
		String list = keys.stream().map((key) -> "\"" + key + "\"").collect(Collectors.joining(","));
		return Deployment.configuration(version,
				Deployment.plainRoute("/seat/", "non_idempotent", "taquilla", 2000, 1), Deployment.plainService("taquilla"),
				",\"tenants\":[{\"name\":\"resale\",\"api_keys\":[" + list
						+ "],\"rate_per_s\":0,\"burst\":0,\"unit\":\"token_stream\",\"plain_tokens\":200},"
						+ "{\"name\":\"desk\",\"api_keys\":[\"desk-1\"],\"rate_per_s\":0,\"burst\":0,\"unit\":\"token_stream\",\"plain_tokens\":200}]");
	}

	private static int call(Router router, Recorder record, String key) {
		String id = Caller.nextId();
		try (Caller caller = new Caller(router, 3000)) {
			caller.send("POST", "/seat/1", id, 2000, "transfer".getBytes(), "Authorization: Bearer " + key);
			int status = caller.read().status();
			record.line("request %s with %s answered %d", id, key, status);
			return status;
		}
		catch (IOException ex) {
			record.line("request %s not answered: %s", id, ex.getMessage());
			return 0;
		}
	}

}
