import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One of three replicas runs its requests, but fails a part of them with a 503 of its own. */
public final class FailedBookings {

	private static final int BOOKINGS = 300;

	private static final int CLIENTS = 4;

	/** Part of the requests that the replica fails. */
	private static final double FAILED_SHARE = 0.4;

	private FailedBookings() {
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
		Random random = new Random(3);
		Set<String> ran = ConcurrentHashMap.newKeySet();
		Map<String, Integer> timesBooked = new ConcurrentHashMap<>();
		List<Replica> replicas = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			boolean grey = trouble && number == 1;
			replicas.add(new Replica("i-ledger-" + number, "ledger", "a", "", (connection) -> {
				String booking = new String(Http.readBody(connection.in, connection.head));
				boolean fails;
				synchronized (random) {
					fails = grey && random.nextDouble() < FAILED_SHARE;
				}
				ran.add(connection.requestId());
				timesBooked.merge(booking, 1, Integer::sum);
				record.line("request %s runs at %s (%s)", connection.requestId(), connection.replica.id, booking);
				Replica.sleep(60);
				connection.respond(fails ? 503 : 200, fails ? "no receipt" : "receipt");
				return true;
			}));
		}
		for (Replica replica : replicas) {
			replica.register(store);
		}
		store.write("op/config", Deployment.configuration(2,
				Deployment.plainRoute("/book/", "non_idempotent", "ledger", 1000, 1), Deployment.plainService("ledger")));
		Path directory = Deployment.temporaryDirectory();
		int peerPort = Router.freePort("127.0.0.37");
		try (Router router = new Router(directory, "edge-a-1", "127.0.0.37", "a", peerPort, storePort,
				List.of("127.0.0.37"), "")) {
			router.start();
			if (!router.awaitReady(replicas.size(), 30_000)) {
				record.result("the router did not become ready: %s", router.output());
				return 2;
			}
			record.line("router process %d is ready; trouble: %s", router.pid(), trouble);
			AtomicInteger refusedAndRan = new AtomicInteger();
			List<Thread> clients = new ArrayList<>();
			for (int client = 0; client < CLIENTS; client++) {
				int first = client + 1;
				Thread thread = new Thread(() -> {
					for (int number = first; number <= BOOKINGS; number += CLIENTS) {
						String booking = "booking-" + number;
						// Clients retry after a promise only, each time on a new connection.
						if (call(router, record, booking, ran, refusedAndRan) == 503) {
							call(router, record, booking, ran, refusedAndRan);
						}
					}
				});
				thread.start();
				clients.add(thread);
			}
			for (Thread client : clients) {
				client.join();
			}
			long twice = timesBooked.values().stream().filter((times) -> times > 1).count();
			record.result("requests answered 503 that had run: %d; bookings that were run twice: %d of %d",
					refusedAndRan.get(), twice, BOOKINGS);
			return (refusedAndRan.get() > 0) ? 1 : 0;
		}
	}

	private static int call(Router router, Recorder record, String booking, Set<String> ran,
			AtomicInteger refusedAndRan) {
		String id = Caller.nextId();
		try (Caller caller = new Caller(router, 3000)) {
			caller.send("POST", "/book/1", id, 2000, booking.getBytes());
			Caller.Response response = caller.read();
			record.line("request %s (%s) answered %d, signature %s", id, booking, response.status(),
					response.head().header("X-Balsamlane-Server-Signature"));
			if (response.status() == 503 && ran.contains(id)) {
				refusedAndRan.incrementAndGet();
			}
			return response.status();
		}
		catch (IOException ex) {
			record.line("request %s (%s) not answered: %s", id, booking, ex.getMessage());
			return 0;
		}
	}

}
