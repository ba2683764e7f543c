import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/** Another writer leaves entries that can't be read under the key of the replicas' list. */
public final class ForeignEntries {

	private static final int ENTRIES = 110;

	/** Below {@code value_bytes}, 1,048,576. */
	private static final int VALUE_BYTES = 1_000_000;

	private ForeignEntries() {
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
		PlainLoad plain = new PlainLoad(record);
		List<Replica> replicas = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			replicas.add(new Replica("i-ledger-" + number, "ledger", "a", "", plain.replica(450)));
		}
		for (Replica replica : replicas) {
			replica.register(store);
		}
		store.write("op/config", Deployment.configuration(2,
				Deployment.plainRoute("/book/", "non_idempotent", "ledger", 2000, 1), Deployment.plainService("ledger")));
		Path directory = Deployment.temporaryDirectory();
		int peerPort = Router.freePort("127.0.0.35");
		for (int number = 1; number <= 2; number++) {
			Router router = new Router(directory, "edge-a-" + number, "127.0.0.3" + (4 + number), "a", peerPort,
					store.listen(new AtomicBoolean()), List.of("127.0.0.35"), "");
			routers.add(router);
			router.start();
		}
		for (Router router : routers) {
			if (!router.awaitReady(replicas.size(), 30_000)) {
				record.result("%s did not become ready: %s", router.name, router.output());
				return 2;
			}
			plain.start(router, "/book/", 8);
		}
		record.line("both routers are ready; trouble: %s", trouble);
		Replica.sleep(3000);
		byte[] value = new byte[VALUE_BYTES];
		new Random(1).nextBytes(value);
		String encoded = Base64.getEncoder().encodeToString(value);
		for (int number = 1; number <= ENTRIES && routers.stream().anyMatch(Router::alive); number++) {
			if (trouble) {
				store.writeEncoded("servers/x-" + number, encoded);
				record.line("another writer has written entry %d", number);
			}
			Replica.sleep(250);
		}
		for (int tenth = 0; tenth < 100 && routers.stream().allMatch(Router::alive); tenth++) {
			Replica.sleep(100);
		}
		plain.stop();
		Replica.sleep(1000);
		int ended = 0;
		for (Router router : routers) {
			if (!router.alive()) {
				ended++;
				record.result("%s ended by itself with status %d", router.name, router.exitCode());
				router.output()
					.lines()
					.filter((line) -> line.contains("OutOfMemory"))
					.forEach((line) -> record.line("%s", line));
			}
		}
		record.result("plain requests answered %d, lost %d; %d of 2 router processes ended by themselves",
				plain.answered.get(), plain.lost.get(), ended);
		return (plain.lost.get() > 3) ? 1 : 0;
	}

}
