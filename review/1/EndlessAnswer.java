import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One prefill replica answers one call that frees a handle with bytes without end. */
public final class EndlessAnswer {

	private static final int LOAD_MILLIS = 30_000;

	private static final double TROUBLE_AT_SECONDS = 2;

	/** Every such request whose prompt was read elsewhere finds no memory at its replica. */
	private static final int REFUSED_ONE_IN = 10;

	private static final AtomicBoolean OPEN = new AtomicBoolean();

	private static final AtomicInteger HANDED_OVER = new AtomicInteger();

	private static Record record;

	private static volatile double loadFromSeconds;

	private EndlessAnswer() {
	}

	public static void main(String[] args) throws Exception {
		record = new Record(Path.of(args[0]));
		OPEN.set(!args[1].equals("0"));
		Path directory = Files.createTempDirectory("balsamlane-review");
		String storeAddress = Loopback.address(1);
		int storePort = Loopback.freePort(storeAddress);
		Store store = new Store(storeAddress, storePort);
		List<String> zones = List.of("doto-a", "dohoku-a", "donan-a");
		for (int index = 0; index < 9; index++) {
			String phase = (index < 2) ? "prefill" : (index < 6) ? "decode" : null;
			Replica replica = new Replica("i-7f3a91c" + index, (phase != null) ? "draft" : "ledger",
					zones.get(index % 3), Loopback.address(20 + index),
					(index < 2) ? EndlessAnswer::prefill : (index < 6) ? EndlessAnswer::decode : EndlessAnswer::plain);
			store.put("servers/" + replica.id, replica.entry("ready", phase, (phase != null) ? 64 : 6, 1));
		}
		store.put("op/config",
				Site.configuration(7, TimeoutCheck.routes(), List.of(Site.engines("draft"), Site.plain("ledger"))));
		String storeEndpoint = storeAddress + ":" + storePort;
		List<Router> routers = Router.start(List.of(Loopback.address(11), Loopback.address(12), Loopback.address(13)),
				List.of(storeEndpoint, storeEndpoint, storeEndpoint), directory);
		Router.awaitAll(routers, 9, record);
		loadFromSeconds = Record.seconds();
		TimeoutCheck check = new TimeoutCheck(record, routers);
		check.run(LOAD_MILLIS);
		System.exit(check.judge());
	}

	private static void prefill(Replica.Call call) throws IOException {
		if (call.request.method().equals("DELETE")) {
			if (Record.seconds() > loadFromSeconds + TROUBLE_AT_SECONDS && OPEN.compareAndSet(true, false)) {
				record.line("%s answers %s without end", call.replica.id, call.request.line());
				call.answerWithoutEnd(record);
			}
			record.line("%s frees %s", call.replica.id, call.request.path());
			call.answer(200, "", "");
		}
		else if (call.request.path().equals("/v1/report")) {
			call.report("prefill", 0);
		}
		else if ("prefill".equals(call.request.header("X-Balsamlane-Serving-Stage"))) {
			Replica.Call.pause(60);
			call.answer(200, "Content-Type: application/json\r\n",
					"{\"handle\":\"" + Long.toHexString(System.nanoTime()) + "\",\"num_tokens\":3200,\"version\":1}");
		}
		else {
			call.answer(421, "X-Balsamlane-Instance-Id: " + call.replica.id + "\r\n", "");
		}
	}

	private static void decode(Replica.Call call) throws IOException {
		if (call.request.path().equals("/v1/report")) {
			call.report("decode", 0);
			return;
		}
		if (call.request.header("X-Balsamlane-Kv-Source") == null) {
			// The prompt is read here, at half the speed and in small pieces.
			Replica.Call.pause(250);
		}
		else if (HANDED_OVER.incrementAndGet() % REFUSED_ONE_IN == 0) {
			call.refuse();
			return;
		}
		record.line("run %s at %s", call.id(), call.replica.id);
		call.stream(20, 10);
	}

	private static void plain(Replica.Call call) throws IOException {
		Replica.Call.pause(85);
		record.line("run %s at %s", call.id(), call.replica.id);
		call.answer(200, call.signed(), "x".repeat(800));
	}

}
