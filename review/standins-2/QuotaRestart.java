package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * All processes are killed at the same moment and started again, while one tenant sends
 * long prompts to all of them.
 */
final class QuotaRestart {

	private static final String HOST = "ficu95.example";

	private static final String KEY = "asnmgkcuyj8pjbvk9m68";

	private static final int ROUTERS = 10;

	/** Quota of the tenant, in tokens. */
	private static final long RATE = 2000;

	private static final long BURST = 8000;

	/** Tokens of each request: fewer than the memory of a replica. */
	private static final long PROMPT = 28_000;

	/** (rate_per_s x window + burst) x (1 + quota_excess) + quota_tolerance. */
	private static final double LIMIT = (RATE * 8 + BURST) * 1.1 + 140_000;

	private QuotaRestart() {
	}

	/** A request that a replica ran. */
	private record Run(long sentNanos, long ranNanos, long tokens) {
	}

	/** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
	static int run(Recorder record, Path folder, boolean trouble) throws Exception {
		Store store = Store.start(record);
		Routers routers = Routers.create(record, folder, store.port());
		routers.useGrownBounds();
		Queue<Run> runs = new ConcurrentLinkedQueue<>();
		try {
			store.put("op/config", Json.of("version", 7, "routes",
					List.of(Json.of("name", "r1", "host", HOST, "prefix", "/lohu930/", "kind", "non_idempotent",
							"timeout_ms", 14000, "target_latency_ms", 900, "priority", 1, "service", "draft",
							"max_attempts", 1)),
					"services", List.of(Json.of("name", "draft", "health_path", "/health", "max_conns", 360)), "tenants",
					List.of(Json.of("name", "hule930", "api_keys", List.of(KEY), "priority", 1, "unit", "token_stream",
							"plain_tokens", 200, "rate_per_s", RATE, "burst", BURST)),
					"limits", Json.of("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
							"idle_timeout_ms", 15000)));
			for (int index = 0; index < 3; index++) {
				Replica.start(record, store, "i-a" + index, "draft").setResponder((replica, request, connection) -> {
					String id = request.header("X-Balsamlane-Request-Id");
					runs.add(new Run(Long.parseLong(id.substring(id.indexOf('-') + 1)), System.nanoTime(), PROMPT));
					record.line("replica " + replica.id() + ": ran " + id + " of tenant "
							+ request.header("X-Balsamlane-Tenant-Id") + ", tokens "
							+ request.header("X-Balsamlane-Token-Count"));
					connection.getOutputStream()
						.write(Http.response(200, Json.headers("X-Balsamlane-Request-Id", id,
								"X-Balsamlane-Server-Signature", replica.id() + "." + id), new byte[0]));
					return true;
				});
			}
			List<Process> processes = new ArrayList<>();
			for (int index = 0; index < ROUTERS; index++) {
				processes.add(routers.start(index, 0, 1, 2));
			}
			for (int index = 0; index < ROUTERS; index++) {
				if (!routers.awaitReady(index, 30_000)) {
					return 2;
				}
			}
			Thread.sleep(5000);
			long untilNanos = System.nanoTime() + 25_000_000_000L;
			for (int index = 0; index < ROUTERS; index++) {
				int router = index;
				Store.daemon("client-" + index, () -> load(record, routers, router, untilNanos));
			}
			Thread.sleep(10_000);
			if (trouble) {
				record.line("all processes are killed");
				for (Process process : processes) {
					process.destroyForcibly();
				}
				for (Process process : processes) {
					process.waitFor();
				}
				Thread.sleep(500);
				for (int index = 0; index < ROUTERS; index++) {
					routers.start(index, 0, 1, 2);
				}
			}
			Thread.sleep(Math.max(0, (untilNanos - System.nanoTime()) / 1_000_000));
			long most = 0;
			for (Run first : runs) {
				long sum = runs.stream()
					.filter((run) -> run.sentNanos() >= first.sentNanos()
							&& run.ranNanos() <= first.sentNanos() + 8_000_000_000L)
					.mapToLong(Run::tokens)
					.sum();
				most = Math.max(most, sum);
			}
			record.line("most tokens sent and run in 8 s: " + most + ", limit " + LIMIT + ", requests run " + runs.size());
			return (most > LIMIT) ? 1 : 0;
		}
		finally {
			routers.stopAll();
		}
	}

	// A client that sends its next request 100 ms after an answer, each on a new connection.
	private static void load(Recorder record, Routers routers, int router, long untilNanos) throws Exception {
		int number = 0;
		while (System.nanoTime() - untilNanos < 0) {
			String id = "q" + router + "." + (number++) + "-" + System.nanoTime();
			int status = 0;
			try (java.net.Socket socket = new java.net.Socket()) {
				socket.connect(routers.front(router), 1000);
				socket.setSoTimeout(3000);
				socket.getOutputStream()
					.write(("POST /lohu930/2f HTTP/1.1\r\nHost: " + HOST + "\r\nAuthorization: Bearer " + KEY
							+ "\r\nX-Balsamlane-Request-Id: " + id + "\r\nX-Balsamlane-Token-Count: " + (PROMPT - 200)
							+ ",200\r\nX-Balsamlane-Deadline-Ms: 14000\r\nContent-Length: 0\r\n\r\n")
						.getBytes());
				Http.Message response = Http.read(socket.getInputStream(), true);
				status = (response != null) ? response.status() : 0;
			}
			catch (IOException ex) {
				status = 0;
			}
			if (status == 200) {
				record.line("client: " + id + " to router " + router + " -> 200");
			}
			Thread.sleep((status == 0) ? 10 : 100);
		}
	}

}
