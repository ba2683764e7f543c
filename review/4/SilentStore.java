import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The open connections between the routers and the store go silent once, while new ones
 * work; then the operator adds a route. Looks for requests on that route that machines in
 * touch refuse with 404 after the bound.
 */
public final class SilentStore {

	private static final double CONTACT_SECONDS = 4;

	private static final double APPLY_SECONDS = 2.5;

	private static final int ROUTERS = 7;

	private static final int HEARTBEAT_MILLIS = 1200;

	private static final int CHANGE_MILLIS = 1000;

	private static final Queue<Refused> REFUSED = new ConcurrentLinkedQueue<>();

	private static Record record;

	private static Store store;

	private SilentStore() {
	}

	public static void main(String[] args) throws Exception {
		record = new Record(Path.of(args[0]));
		boolean trouble = !args[1].equals("0");
		Path directory = Files.createTempDirectory("balsamlane-review");
		String storeAddress = Loopback.address(1);
		int storePort = Loopback.freePort(storeAddress);
		store = new Store(storeAddress, storePort);
		List<Replica> replicas = new ArrayList<>();
		for (int index = 0; index < 3; index++) {
			Replica replica = new Replica("i-7f3a91c" + index, "ledger", "doto-a", Loopback.address(40 + index), (call) -> {
				Replica.Call.pause(20);
				record.line("run %s at %s", call.id(), call.replica.id);
				call.answer(200, call.signed(), "x".repeat(800));
			});
			replicas.add(replica);
			store.put("servers/" + replica.id, replica.entry("ready", null, 6, 1));
		}
		List<String> routes = new ArrayList<>();
		routes.add(Site.route("r-status", "/cufi504/", "idempotent", "ledger", 2000, 486, 2, false));
		long version = 7;
		store.put("op/config", Site.configuration(version, routes, List.of(Site.plain("ledger"))));
		List<Proxy> proxies = new ArrayList<>();
		List<String> addresses = new ArrayList<>();
		for (int index = 0; index < ROUTERS; index++) {
			addresses.add(Loopback.address(11 + index));
			proxies.add(new Proxy(Loopback.address(61 + index), storeAddress, storePort));
		}
		List<Router> routers = Router.start(addresses,
				proxies.stream().map((proxy) -> proxy.address + ":" + proxy.port).toList(), directory);
		Router.awaitAll(routers, replicas.size(), record);
		replicas.forEach((replica) -> Replica.thread(() -> beat(replica)));
		Thread.sleep((long) (CONTACT_SECONDS * 1000));
		for (int change = 0; change < 3; change++) {
			version += 2;
			routes.add(Site.route("r-" + change, "/idle" + change + "/", "idempotent", "ledger", 2000, 486, 2, false));
			store.put("op/config", Site.configuration(version, routes, List.of(Site.plain("ledger"))));
			record.line("the store acknowledged version %d", version);
			Thread.sleep((change < 2) ? CHANGE_MILLIS : ThreadLocalRandom.current().nextInt(CHANGE_MILLIS));
		}
		if (trouble) {
			for (Proxy proxy : proxies) {
				record.line("%d open connections to the store are silent from here on", proxy.silence());
			}
		}
		double silentSeconds = Record.seconds();
		Thread.sleep(300);
		routes.add(Site.route("r-new", "/puxa403/", "idempotent", "ledger", 2000, 486, 2, false));
		store.put("op/config", Site.configuration(version + 2, routes, List.of(Site.plain("ledger"))));
		double ackSeconds = Record.seconds();
		record.line("the store acknowledged version %d", version + 2);
		routers.forEach((router) -> Replica.thread(() -> send(router, ackSeconds + 10)));
		Thread.sleep(11_000);
		System.exit(judge(silentSeconds, ackSeconds));
	}

	// The replicas have just started: what they say of cold_left_ms changes with each beat.
	private static void beat(Replica replica) throws InterruptedException {
		Thread.sleep(ThreadLocalRandom.current().nextInt(HEARTBEAT_MILLIS));
		for (int beat = 1; beat < 25; beat++) {
			store.put("servers/" + replica.id,
					replica.entry("ready", null, 6, 1)
						.replace("\"cold_left_ms\":0", "\"cold_left_ms\":" + (30_000 - beat * HEARTBEAT_MILLIS))
						.replace("\"seq\":1", "\"seq\":" + beat));
			Thread.sleep(HEARTBEAT_MILLIS);
		}
	}

	private static void send(Router router, double untilSeconds) throws InterruptedException {
		for (int number = 0; Record.seconds() < untilSeconds; number++) {
			String id = router.name + "-" + number;
			double atSeconds = Record.seconds();
			record.line("sent %s", id);
			Router.Reply reply = router.call(Site.head("GET", "/puxa403/2f", id, 2000, -1, ""), new byte[0], 3000);
			record.line("%s %s", id, reply.outcome());
			if (reply.status() == 404) {
				REFUSED.add(new Refused(router.name, atSeconds));
			}
			Thread.sleep(50);
		}
	}

	private static int judge(double silentSeconds, double ackSeconds) {
		double fromSeconds = Math.max(silentSeconds + CONTACT_SECONDS, ackSeconds + APPLY_SECONDS);
		List<Refused> late = REFUSED.stream().filter((refused) -> refused.atSeconds > fromSeconds).toList();
		record.say("refused with 404: %d, of these sent by clients later than %.1f s after the acknowledgement and "
				+ "%.1f s after the connections went silent: %d, at %d routers", REFUSED.size(), APPLY_SECONDS,
				CONTACT_SECONDS, late.size(), late.stream().map(Refused::router).distinct().count());
		late.stream()
			.mapToDouble(Refused::atSeconds)
			.max()
			.ifPresent((last) -> record.say("the last was sent %.2f s after the connections went silent, %.2f s after "
					+ "the acknowledgement", last - silentSeconds, last - ackSeconds));
		record.say(late.isEmpty() ? "CONFIG held" : "CONFIG is broken");
		return late.isEmpty() ? 0 : 1;
	}

	private record Refused(String router, double atSeconds) {
	}

}
