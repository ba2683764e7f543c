import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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
		long[] drainingNanos = { 0 };
		Set<String> late = ConcurrentHashMap.newKeySet();
		List<Replica> replicas = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			boolean leaves = number == 1;
			replicas.add(new Replica("i-draft-" + number, "draft", "a", "decode", (connection) -> {
				Http.readBody(connection.in, connection.head);
				long nanos = drainingNanos[0];
				long sinceMillis = (nanos != 0) ? (System.nanoTime() - nanos) / 1_000_000 : 0;
				if (leaves && sinceMillis > 0) {
					record.line("request %s reaches the leaving replica %d ms after the acknowledgement",
							connection.requestId(), sinceMillis);
					if (sinceMillis > DRAIN_MILLIS) {
						late.add(connection.requestId());
					}
				}
				stream(connection, leaves && nanos != 0);
				return true;
			}));
		}
		Replica leaving = replicas.get(0);
		boolean[] removed = { false };
		Replica.daemon(() -> {
			for (int seq = 1; true; seq++) {
				synchronized (removed) {
					if (removed[0]) {
						return;
					}
					String entry = leaving.entry(seq);
					store.write("servers/" + leaving.id,
							(drainingNanos[0] != 0) ? entry.replace("\"ready\"", "\"draining\"") : entry);
				}
				Replica.sleep(1200);
			}
		});
		Replica.sleep(100);
		replicas.subList(1, 3).forEach((replica) -> replica.register(store));
		store.write("op/config", Deployment.configuration(2,
				Deployment.streamRoute("/letter/", "draft", false), Deployment.modelService("draft")));
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
			AtomicInteger lost = new AtomicInteger();
			for (int caller = 0; caller < 24; caller++) {
				Replica.daemon(() -> {
					while (true) {
						call(router, record, answered, late, lost);
						Replica.sleep(100);
					}
				});
				Replica.sleep(95);
			}
			Replica.sleep(5000);
			store.write("servers/" + leaving.id, leaving.entry(99).replace("\"ready\"", "\"draining\""));
			drainingNanos[0] = System.nanoTime();
			record.line("the store has acknowledged that %s is draining", leaving.id);
			Replica.sleep(1500);
			synchronized (removed) {
				removed[0] = true;
				store.remove("servers/" + leaving.id);
			}
			record.line("the entry of %s is removed", leaving.id);
			Replica.sleep(2500);
			if (trouble) {
				// Without version, cold_left_ms, seq and born.
				store.write("servers/" + leaving.id, "{\"service\":\"draft\",\"address\":\"" + leaving.address()
						+ "\",\"zone\":\"a\",\"slots\":64,\"state\":\"ready\",\"phase\":\"decode\"}");
				record.line("another writer has left an entry with missing fields under %s", leaving.id);
			}
			Replica.sleep(1200);
			leaving.exit();
			record.line("%s has exited", leaving.id);
			Replica.sleep(1500);
			record.result("streams answered whole: %d; streams that reached the leaving replica later than %d ms after the "
					+ "acknowledgement: %d, of which cut off when it exited: %d", answered.get(), DRAIN_MILLIS, late.size(),
					lost.get());
			return (!late.isEmpty()) ? 1 : 0;
		}
	}

	private static void stream(Replica.Connection connection, boolean leaving) throws IOException {
		connection.write(connection.responseHead(200) + (leaving ? "Server-Leaving: 1\r\n" : "")
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int event = 1; event <= 70; event++) {
			Replica.sleep(30);
			String text = "id: " + event + "\ndata: " + "y".repeat(60) + "\n\n";
			connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}
		connection.write("0\r\n\r\n");
	}

	private static void call(Router router, Recorder record, AtomicInteger answered, Set<String> late,
			AtomicInteger lost) {
		String id = Caller.nextId();
		try (Caller caller = new Caller(router, 16_000)) {
			caller.send("POST", "/letter/1", id, 14_000, new byte[3000], "X-Balsamlane-Model-Name: m",
					"X-Balsamlane-Token-Count: 260,70", "X-Balsamlane-Prefix-Hash: ab12:200," + id + ":60");
			Caller.Response response = caller.read();
			if (response.status() == 200) {
				answered.incrementAndGet();
				return;
			}
			record.line("request %s answered %d", id, response.status());
		}
		catch (IOException ex) {
			record.line("request %s not answered whole: %s", id, ex.getMessage());
		}
		if (late.contains(id)) {
			lost.incrementAndGet();
		}
	}

}
