import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Decode replicas in trouble send an event without end, until the caller closes. */
public final class EndlessEvents {

	private static final int DECODE_REPLICAS = 8;

	private static final int PREFILL_REPLICAS = 5;

	private static final int STREAMS = 340;

	/** The sheet's 11.2 a second in the largest burst of the site's days, 2.2. */
	private static final int STREAMS_PER_SECOND = 24;

	/** The event arrives quickly up to this size, and slowly then. */
	private static final int FAST_BYTES = 250_000;

	private static final int SLOW_BYTES_PER_SECOND = 500;

	private EndlessEvents() {
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
		PlainLoad plain = new PlainLoad(record);
		AtomicInteger sent = new AtomicInteger();
		List<Replica> replicas = new ArrayList<>();
		replicas.add(new Replica("i-ledger-1", "ledger", "a", "", plain.replica(450)));
		for (int number = 1; number <= DECODE_REPLICAS; number++) {
			replicas.add(new Replica("i-decode-" + number, "draft", "a", "decode", (connection) -> {
				Http.readBody(connection.in, connection.head);
				sent.incrementAndGet();
				return trouble ? endless(connection) : stream(connection);
			}));
		}
		for (int number = 1; number <= PREFILL_REPLICAS; number++) {
			replicas.add(new Replica("i-prefill-" + number, "draft", "a", "prefill", EndlessEvents::prefill));
		}
		for (Replica replica : replicas) {
			replica.register(store);
		}
		store.write("op/config", Deployment.configuration(2,
				Deployment.plainRoute("/book/", "non_idempotent", "ledger", 2000, 1) + ","
						+ Deployment.streamRoute("/letter/", "draft", false),
				Deployment.plainService("ledger") + "," + Deployment.modelService("draft")));
		Path directory = Deployment.temporaryDirectory();
		int peerPort = Router.freePort("127.0.0.31");
		try (Router router = new Router(directory, "edge-a-1", "127.0.0.31", "a", peerPort, storePort,
				List.of("127.0.0.31"), "")) {
			router.start();
			if (!router.awaitReady(replicas.size(), 30_000)) {
				record.result("the router did not become ready: %s", router.output());
				return 2;
			}
			record.line("router process %d is ready; trouble: %s", router.pid(), trouble);
			plain.start(router, "/book/", 8);
			AtomicInteger complete = new AtomicInteger();
			for (int number = 0; number < STREAMS && router.alive(); number++) {
				Replica.daemon(() -> call(router, record, complete));
				Replica.sleep(1000 / STREAMS_PER_SECOND);
			}
			for (int tenth = 0; tenth < 150 && router.alive(); tenth++) {
				Replica.sleep(100);
			}
			plain.stop();
			Replica.sleep(1000);
			boolean ended = !router.alive();
			record.result("streams sent %d, reached a replica %d, complete %d", STREAMS, sent.get(), complete.get());
			record.result("plain requests answered %d, lost %d; router process %s", plain.answered.get(),
					plain.lost.get(), ended ? "ended by itself with status " + router.exitCode() : "alive");
			if (ended) {
				router.output().lines().filter((line) -> line.contains("OutOfMemory")).forEach((line) -> record.line("%s", line));
			}
			return (plain.lost.get() > 3) ? 1 : 0;
		}
	}

	private static boolean prefill(Replica.Connection connection) throws IOException {
		Http.readBody(connection.in, connection.head);
		Replica.sleep(30);
		String body = "{\"handle\":\"" + connection.requestId() + "\",\"num_tokens\":260,\"version\":1}";
		connection.write("HTTP/1.1 200 OK\r\nX-Balsamlane-Request-Id: " + connection.requestId()
				+ "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
		return true;
	}

	private static boolean endless(Replica.Connection connection) throws IOException {
		connection.write(connection.responseHead(200) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
		String fast = "x".repeat(FAST_BYTES / 25);
		for (int part = 0; part < 25; part++) {
			connection.write(fast);
			Replica.sleep(40);
		}
		String slow = "x".repeat(SLOW_BYTES_PER_SECOND / 2);
		while (true) {
			connection.write(slow);
			Replica.sleep(500);
		}
	}

	private static boolean stream(Replica.Connection connection) throws IOException {
		connection.write(connection.responseHead(200)
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int event = 1; event <= 70; event++) {
			String text = "id: " + event + "\ndata: " + "y".repeat(60) + "\n\n";
			connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
			Replica.sleep(30);
		}
		connection.write("0\r\n\r\n");
		return true;
	}

	private static void call(Router router, Recorder record, AtomicInteger complete) {
		String id = Caller.nextId();
		try (Caller caller = new Caller(router, 20_000)) {
			caller.send("POST", "/letter/1", id, 14_000, new byte[3000], "X-Balsamlane-Model-Name: m",
					"X-Balsamlane-Token-Count: 260,70", "X-Balsamlane-Prefix-Hash: ab12:200," + id + ":60");
			Caller.Response response = caller.read();
			record.line("stream %s answered %d, %d bytes", id, response.status(), response.body().length);
			if (response.status() == 200) {
				complete.incrementAndGet();
			}
		}
		catch (IOException ex) {
			record.line("stream %s not answered: %s", id, ex.getMessage());
		}
	}

}
