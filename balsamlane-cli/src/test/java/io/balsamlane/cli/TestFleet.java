package io.balsamlane.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.balsamlane.router.RouterDaemon;
import io.balsamlane.router.settings.SettingsLoader;
import io.balsamlane.router.settings.SettingsResult;
import io.balsamlane.standin.hosts.HostListStandIn;
import io.balsamlane.standin.store.PlatformStoreStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Two routers in this process, with a store and a host list; runs the tool against them.
 */
final class TestFleet implements AutoCloseable {

	static final String KEY = "fleet-key";

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = this.vertx.createHttpClient();

	private final List<RouterDaemon> daemons = new ArrayList<>();

	private final List<Integer> ports = new ArrayList<>();

	private final int storePort;

	private TestFleet() {
		this.storePort = await(new PlatformStoreStandIn(this.vertx, 0).start());
		JsonArray hosts = hosts();
		int hostsPort = await(new HostListStandIn(this.vertx, 0, 1, hosts.copy()).start());
		for (int number = 1; number <= 2; number++) {
			SettingsResult.Loaded settings = (SettingsResult.Loaded) SettingsLoader.parse("router.ini", """
					[node]
					host = router-%d
					place = doto-a
					region = doto
					[store]
					url = http://127.0.0.1:%d
					retry_pause_millis = 50
					call_timeout_millis = 300
					[hosts]
					url = http://127.0.0.1:%d/v1/hosts
					poll_millis = 50
					[edge]
					port = 0
					admin_port = 0
					balancer_notice_millis = 0
					[peer]
					port = 0
					key = %s
					previous_key = old-key
					""".formatted(number, this.storePort, hostsPort, KEY));
			RouterDaemon daemon = RouterDaemon.create(this.vertx, settings.settings());
			this.daemons.add(daemon);
			RouterDaemon.Ports started = await(daemon.start());
			this.ports.add(started.admin());
			hosts.add(host("router-" + number, "router", "router", started.peer()));
		}
		send(HttpMethod.PUT, hostsPort, "/stand-in/hosts", hosts.toBuffer());
		awaitMembers();
	}

	// The routers learn of each other from the host list, a moment after the start.
	private void awaitMembers() {
		long deadlineNanos = System.nanoTime() + 10_000_000_000L;
		for (int port : this.ports) {
			while (new JsonObject(send(HttpMethod.GET, port, "/admin/v1/status", Buffer.buffer()))
				.getJsonArray("members")
				.size() < 2) {
				if (System.nanoTime() - deadlineNanos > 0) {
					throw new IllegalStateException("The routers do not see each other");
				}
			}
		}
	}

	private String send(HttpMethod method, int port, String path, Buffer body) {
		return await(this.client.request(method, port, "127.0.0.1", path)
			.compose((request) -> request.putHeader("Authorization", "Bearer " + KEY)
				.send(body)
				.compose((response) -> response.body().map(Buffer::toString))));
	}

	static TestFleet start() {
		return new TestFleet();
	}

	private static JsonArray hosts() {
		JsonArray hosts = new JsonArray();
		for (String entry : List.of("prefill-1 engine draft-prefill", "decode-1 engine draft-decode",
				"decode-2 engine draft-decode", "ledger-1 service ledger")) {
			String[] words = entry.split(" ");
			hosts.add(host(words[0], words[1], words[2], 1));
		}
		return hosts;
	}

	private static JsonObject host(String name, String kind, String group, int port) {
		return new JsonObject().put("host", name)
			.put("kind", kind)
			.put("name", group)
			.put("place", "doto-a")
			.put("region", "doto")
			.put("address", "127.0.0.1")
			.put("port", port)
			.put("state", "live");
	}

	String server(int index) {
		return "http://127.0.0.1:" + this.ports.get(index);
	}

	String servers() {
		return this.ports.stream().map((port) -> "http://127.0.0.1:" + port).collect(Collectors.joining(","));
	}

	void stopRouter(int index) {
		await(this.daemons.get(index).stop());
	}

	/**
	 * Sets faults of the platform store.
	 * @param faults body for its control path
	 */
	void storeFaults(JsonObject faults) {
		send(HttpMethod.PUT, this.storePort, "/stand-in/faults", faults.toBuffer());
	}

	/**
	 * Runs the tool with the key, against both routers unless told otherwise.
	 * @param args the command line
	 * @return exit code and output
	 */
	Run run(String... args) {
		return run(Map.of("BALSAMLANE_KEY", KEY, "BALSAMLANE_SERVER", servers()), args);
	}

	static Run run(Map<String, String> environment, String... args) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		int code = ControlMain.run(environment, new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(err, true, StandardCharsets.UTF_8), args);
		return new Run(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

	@Override
	public void close() {
		this.daemons.forEach((daemon) -> await(daemon.stop()));
		await(this.vertx.close());
	}

	static <T> T await(Future<T> future) {
		try {
			return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Outcome of one run of the tool.
	 *
	 * @param code exit code
	 * @param out standard output
	 * @param err error output
	 */
	record Run(int code, String out, String err) {

		/**
		 * Replaces what differs from run to run.
		 * @return output and exit code
		 */
		String stable() {
			return ("exit code " + this.code + "\n" + this.out + (this.err.isEmpty() ? "" : "--- errors\n" + this.err))
				.replaceAll("\\d{4}-\\d\\d-\\d\\dT[0-9:]+Z", "TIME")
				.replaceAll("use one of role, .*", "use one of KEYS")
				.replaceAll("127\\.0\\.0\\.1:\\d+", "127.0.0.1:PORT")
				.replaceAll("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "CHANGE-ID");
		}

	}

}
