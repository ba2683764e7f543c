import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The store turns away the two machines of one zone while a new version moves a route to
 * another service.
 */
public final class TurnedAwayZone {

	/** The longest time in the site files. */
	private static final long TURNED_AWAY_MILLIS = 9000;

	/** {@code config_apply_ms} and {@code max_stretch_ms} of the small sites. */
	private static final long BOUND_MILLIS = 2500 + 6000;

	private static final String[] ZONES = { "a", "a", "a", "b", "b", "c", "c" };

	private TurnedAwayZone() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		List<Router> routers = new ArrayList<>();
		int code;
		try (Recorder record = new Recorder(Path.of(args[0], "record.txt"))) {
			code = run(record, trouble, routers);
		}
		finally {
			routers.forEach(Router::close);
		}
		System.exit(code);
	}

	private static int run(Recorder record, boolean trouble, List<Router> routers) throws Exception {
		Store store = new Store();
		for (String service : List.of("ledger-old", "ledger-new")) {
			for (String zone : List.of("a", "b", "c")) {
				new Replica("i-" + service + "-" + zone, service, zone, "", (connection) -> {
					Http.readBody(connection.in, connection.head);
					record.line("request %s runs at %s", connection.requestId(), connection.replica.id);
					Replica.sleep(20);
					connection.respond(200, connection.replica.service);
					return true;
				}).register(store);
			}
		}
		String services = Deployment.plainService("ledger-old") + "," + Deployment.plainService("ledger-new");
		store.write("op/config", Deployment.configuration(2,
				Deployment.plainRoute("/book/", "non_idempotent", "ledger-old", 1000, 1), services));
		Path directory = Deployment.temporaryDirectory();
		AtomicBoolean refusing = new AtomicBoolean();
		List<String> seeds = List.of("127.0.0.41", "127.0.0.44", "127.0.0.46");
		int peerPort = Router.freePort("127.0.0.41");
		for (int number = 0; number < ZONES.length; number++) {
			boolean turnedAway = ZONES[number].equals("b");
			Router router = new Router(directory, "edge-" + ZONES[number] + "-" + (number + 1), "127.0.0.4" + (number + 1),
					ZONES[number], peerPort, store.listen(turnedAway ? refusing : new AtomicBoolean()), seeds,
					"zones.c=region-c");
			routers.add(router);
			router.start();
		}
		for (Router router : routers) {
			if (!router.awaitReady(6, 40_000)) {
				record.result("%s did not become ready: %s", router.name, router.output());
				return 2;
			}
		}
		// Traffic starts some time after the machines do.
		Replica.sleep(6000);
		record.line("all routers are ready; trouble: %s", trouble);
		refusing.set(trouble);
		long refusedNanos = System.nanoTime();
		record.line("the store turns away the two machines of zone b");
		Replica.sleep(100);
		store.write("op/config", Deployment.configuration(3,
				Deployment.plainRoute("/book/", "non_idempotent", "ledger-new", 1000, 1), services));
		long acknowledgedNanos = System.nanoTime();
		record.line("the store has acknowledged version 3, which moves the route to ledger-new");
		int late = 0;
		int stale = 0;
		int staleElsewhere = 0;
		while (millisSince(refusedNanos) < TURNED_AWAY_MILLIS + 3000) {
			if (millisSince(refusedNanos) >= TURNED_AWAY_MILLIS && refusing.getAndSet(false)) {
				record.line("the store serves all machines again");
			}
			for (Router router : routers) {
				long sentMillis = millisSince(acknowledgedNanos);
				String ranBy = call(router, record, sentMillis);
				boolean old = ranBy.equals("ledger-old");
				if (router.name.startsWith("edge-b") && sentMillis > BOUND_MILLIS) {
					late++;
					stale += old ? 1 : 0;
				}
				else if (!router.name.startsWith("edge-b") && sentMillis > 2500) {
					staleElsewhere += old ? 1 : 0;
				}
			}
			Replica.sleep(30);
		}
		record.result("machines of zone b: %d requests sent later than %d ms after the acknowledgement, %d of them run by "
				+ "the old service; other machines, later than 2500 ms: %d", late, BOUND_MILLIS, stale, staleElsewhere);
		return (stale + staleElsewhere > 0) ? 1 : (late > 0) ? 0 : 2;
	}

	private static long millisSince(long nanos) {
		return (System.nanoTime() - nanos) / 1_000_000;
	}

	private static String call(Router router, Recorder record, long sentMillis) {
		String id = Caller.nextId();
		try (Caller caller = new Caller(router, 3000)) {
			caller.send("POST", "/book/1", id, 2000, "pickup".getBytes());
			Caller.Response response = caller.read();
			String body = new String(response.body());
			record.line("request %s sent to %s %d ms after the acknowledgement: %d %s", id, router.name, sentMillis,
					response.status(), (response.status() == 200) ? body : "");
			return body;
		}
		catch (IOException ex) {
			record.line("request %s to %s failed: %s", id, router.name, ex.getMessage());
			return "";
		}
	}

}
