import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * After a replica has left the list, another writer leaves an entry with missing fields under
 * its id, while the replica still serves.
 */
public final class PartialEntry {

	private static final long DRAIN_MILLIS = 2500;

	private PartialEntry() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Recorder record = new Recorder(Path.of(args[0], "record.txt"))) {
			System.exit(run(record, trouble));
		}
	}

	private static int run(Recorder record, boolean trouble) throws Exception {
		Store store = new Store();
		int storePort = store.listen(new AtomicBoolean());
		long[] drainingNanos = { 0 };
		AtomicInteger late = new AtomicInteger();
		List<Replica> replicas = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			boolean leaves = number == 1;
			replicas.add(new Replica("i-ledger-" + number, "ledger", "a", "", (connection) -> {
				Http.readBody(connection.in, connection.head);
				long nanos = drainingNanos[0];
				long sinceMillis = (nanos != 0) ? (System.nanoTime() - nanos) / 1_000_000 : 0;
				if (leaves && sinceMillis > 0) {
					record.line("request %s runs at the leaving replica %d ms after the acknowledgement",
							connection.requestId(), sinceMillis);
					if (sinceMillis > DRAIN_MILLIS) {
						late.incrementAndGet();
					}
				}
				Replica.sleep(60);
				connection.respond(200, "receipt");
				return true;
			}));
		}
		Replica leaving = replicas.get(0);
		store.write("servers/" + leaving.id, leaving.entry(1));
		replicas.subList(1, 3).forEach((replica) -> replica.register(store));
		store.write("op/config", Deployment.configuration(2,
				Deployment.plainRoute("/book/", "non_idempotent", "ledger", 1000, 1), Deployment.plainService("ledger")));
		Path directory = Deployment.temporaryDirectory();
		int peerPort = Router.freePort("127.0.0.38");
		try (Router router = new Router(directory, "edge-a-1", "127.0.0.38", "a", peerPort, storePort,
				List.of("127.0.0.38"), "")) {
			router.start();
			if (!router.awaitReady(replicas.size(), 30_000)) {
				record.result("the router did not become ready: %s", router.output());
				return 2;
			}
			record.line("router process %d is ready; trouble: %s", router.pid(), trouble);
			AtomicInteger answered = new AtomicInteger();
			AtomicInteger failed = new AtomicInteger();
			for (int caller = 0; caller < 6; caller++) {
				Replica.daemon(() -> {
					while (true) {
						call(router, record, answered, failed);
						Replica.sleep(40);
					}
				});
			}
			Replica.sleep(5000);
			store.write("servers/" + leaving.id, leaving.entry(2).replace("\"ready\"", "\"draining\""));
			drainingNanos[0] = System.nanoTime();
			record.line("the store has acknowledged that %s is draining", leaving.id);
			Replica.sleep(1500);
			store.remove("servers/" + leaving.id);
			record.line("the entry of %s is removed", leaving.id);
			Replica.sleep(2500);
			if (trouble) {
				// Without version, cold_left_ms, seq and born.
				store.write("servers/" + leaving.id, "{\"service\":\"ledger\",\"address\":\"" + leaving.address()
						+ "\",\"zone\":\"a\",\"slots\":6,\"state\":\"ready\"}");
				record.line("another writer has left an entry with missing fields under %s", leaving.id);
			}
			Replica.sleep(3000);
			leaving.exit();
			record.line("%s has exited", leaving.id);
			Replica.sleep(1500);
			record.result("requests that the replica was running when it exited, answered 502: %d", failed.get());
			record.result("requests answered: %d; requests that reached the leaving replica later than %d ms after the "
					+ "acknowledgement: %d", answered.get(), DRAIN_MILLIS, late.get());
			return (late.get() > 0) ? 1 : 0;
		}
	}

	private static void call(Router router, Recorder record, AtomicInteger answered,
			AtomicInteger failed) {
		String id = Caller.nextId();
		try (Caller caller = new Caller(router, 3000)) {
			caller.send("POST", "/book/1", id, 2000, "pickup".getBytes());
			int status = caller.read().status();
			if (status != 200) {
				record.line("request %s answered %d", id, status);
			}
			((status == 200) ? answered : failed).incrementAndGet();
		}
		catch (IOException ex) {
			record.line("request %s not answered: %s", id, ex.getMessage());
		}
	}

}
