import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** One replica answers one call for its report with bytes without end. */
public final class EndlessReport {

	private static final int LOAD_MILLIS = 40_000;

	private static final int SWITCH_MILLIS = 6000;

	private static final AtomicBoolean OPEN = new AtomicBoolean();

	/** The phase of each engine, "switching" while an order is carried out. */
	private static final Map<String, String> PHASES = new ConcurrentHashMap<>();

	private static final Map<String, Integer> ORDERS = new ConcurrentHashMap<>();

	private static Record record;

	private static Store store;

	private EndlessReport() {
	}

	public static void main(String[] args) throws Exception {
		record = new Record(Path.of(args[0]));
		OPEN.set(!args[1].equals("0"));
		Path directory = Files.createTempDirectory("balsamlane-review");
		String storeAddress = Loopback.address(1);
		int storePort = Loopback.freePort(storeAddress);
		store = new Store(storeAddress, storePort);
		List<String> zones = List.of("doto-a", "dohoku-a", "donan-a");
		for (int index = 0; index < 9; index++) {
			String phase = (index < 3) ? "prefill" : (index < 6) ? "decode" : null;
			Replica replica = new Replica("i-7f3a91c" + index, (phase != null) ? "draft" : "ledger",
					zones.get(index % 3), Loopback.address(20 + index),
					(phase != null) ? EndlessReport::engine : EndlessReport::plain);
			if (phase != null) {
				PHASES.put(replica.id, phase);
			}
			store.put("servers/" + replica.id, replica.entry("ready", phase, (phase != null) ? 64 : 6, 1));
		}
		store.put("op/config",
				Site.configuration(7, TimeoutCheck.routes(), List.of(Site.engines("draft"), Site.plain("ledger"))));
		String storeEndpoint = storeAddress + ":" + storePort;
		List<Router> routers = Router.start(List.of(Loopback.address(11), Loopback.address(12), Loopback.address(13)),
				List.of(storeEndpoint, storeEndpoint, storeEndpoint), directory);
		Router.awaitAll(routers, 9, record);
		TimeoutCheck check = new TimeoutCheck(record, routers);
		check.run(LOAD_MILLIS);
		System.exit(check.judge());
	}

	private static void engine(Replica.Call call) throws IOException {
		String id = call.replica.id;
		String phase = PHASES.get(id);
		if (call.request.path().equals("/v1/report")) {
			if (OPEN.compareAndSet(true, false)) {
				record.line("%s answers %s without end", id, call.request.line());
				call.answerWithoutEnd(record);
			}
			record.line("report of %s: %s", id, phase);
			call.report(phase.equals("switching") ? "decode" : phase, ORDERS.getOrDefault(id, 0));
		}
		else if (call.request.path().equals("/v1/order")) {
			order(call);
		}
		else if (call.request.method().equals("DELETE")) {
			call.answer(200, "", "");
		}
		else if (phase.equals("switching")) {
			call.refuse();
		}
		else if ("prefill".equals(call.request.header("X-Balsamlane-Serving-Stage")) != phase.equals("prefill")) {
			call.answer(421, "X-Balsamlane-Instance-Id: " + id + "\r\n", "");
		}
		else if (phase.equals("prefill")) {
			Replica.Call.pause(100);
			call.answer(200, "Content-Type: application/json\r\n",
					"{\"handle\":\"" + Long.toHexString(System.nanoTime()) + "\",\"num_tokens\":3200,\"version\":1}");
		}
		else {
			if (call.request.header("X-Balsamlane-Kv-Source") == null) {
				Replica.Call.pause(250);
			}
			record.line("run %s at %s", call.id(), id);
			call.stream(20, 10);
		}
	}

	private static void order(Replica.Call call) throws IOException {
		String id = call.replica.id;
		String wanted = call.request.text().contains("\"phase\":\"prefill\"") ? "prefill" : "decode";
		record.line("order at %s: %s", id, call.request.text());
		if (PHASES.get(id).equals(wanted)) {
			call.answer(200, "", "");
			return;
		}
		if (PHASES.get(id).equals("switching")) {
			call.answer(409, "", "");
			return;
		}
		PHASES.put(id, "switching");
		ORDERS.merge(id, 1, Integer::sum);
		Replica.thread(() -> {
			Thread.sleep(SWITCH_MILLIS);
			PHASES.put(id, wanted);
			store.put("servers/" + id, call.replica.entry("ready", wanted, 64, 1));
		});
		call.answer(202, "", "");
	}

	private static void plain(Replica.Call call) throws IOException {
		Replica.Call.pause(85);
		record.line("run %s at %s", call.id(), call.replica.id);
		call.answer(200, call.signed(), "x".repeat(800));
	}

}
