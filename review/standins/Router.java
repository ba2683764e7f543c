import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A router process, started with the command of the deploy file. */
final class Router {

	final String name;

	final String address;

	final int front;

	final int ready;

	private final Path log;

	private final Path settings;

	private Process process;

	Router(String name, String address, int front, int ready, Path settings, Path log) {
		this.name = name;
		this.address = address;
		this.front = front;
		this.ready = ready;
		this.settings = settings;
		this.log = log;
	}

	/** Starts one router for each address, with the settings of a small deployment. */
	static List<Router> start(List<String> addresses, List<String> stores, Path directory) throws IOException {
		int front = Loopback.freePort(addresses.get(0));
		int ready = Loopback.freePort(addresses.get(0));
		int control = Loopback.freePort(addresses.get(0));
		int peers = Loopback.freePort(addresses.get(0));
		String seeds = String.join(",",
				addresses.stream().limit(3).map((address) -> address + ":" + control).toList());
		List<Router> routers = new ArrayList<>();
		for (int index = 0; index < addresses.size(); index++) {
			String address = addresses.get(index);
			String zone = List.of("doto-a", "dohoku-a", "donan-a").get(index % 3);
			Path settings = directory.resolve("settings-" + index + ".conf");
			Files.writeString(settings, String.join("\n", "node_name=edge-" + zone + "-" + (1 + index / 3), "role=router",
					"machine_class=edge", "serves=edge,control_plane", "ip=" + address, "zone=" + zone,
					"region=" + zone.substring(0, zone.length() - 2), "zones.doto-a=doto", "zones.dohoku-a=dohoku",
					"zones.donan-a=donan", "listen_addrs.front=" + address + ":" + front,
					"listen_addrs.ready=" + address + ":" + ready, "listen_addrs.control=" + address + ":" + control,
					"port_range=" + peers + "," + (peers + 15), "seed_nodes=" + seeds, "bootstrap=true",
					"tolerance_member=false", "limits.cpu_share=0.75", "limits.cpu_cores=1", "limits.memory_mb=280",
					"limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
					"entry=vip", "heartbeat_ms=1200",
					"contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
					"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
					"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000",
					"bounds.catch_up_s=4", "bounds.drain_ms=2500", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
					"bounds.config_apply_ms=2500", "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=6000",
					"bounds.retry_budget=0.2", "bounds.budget_window_s=10", "bounds.retry_slack=54",
					"bounds.recovery_s=12", "bounds.transit_ms=300", "bounds.retry_after_s=7",
					"bounds.require_fence=true", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300",
					"platform.address=" + stores.get(index), "platform.form=kv", "platform.writes_per_s=400",
					"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
					"platform.min_ttl_ms=1000", ""));
			Router router = new Router("edge-" + zone + "-" + (1 + index / 3), address, front, ready, settings,
					directory.resolve("router-" + index + ".log"));
			router.launch();
			routers.add(router);
		}
		return routers;
	}

	void launch() throws IOException {
		String run = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.map((line) -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
			.findFirst()
			.orElseThrow();
		ProcessBuilder builder = new ProcessBuilder(run.split(" "));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("BALSAMLANE_CONFIG", this.settings.toString());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.directory(new File("").getAbsoluteFile());
		this.process = builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
	}

	long pid() {
		return this.process.pid();
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitValue() {
		return this.process.exitValue();
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor(5, TimeUnit.SECONDS);
	}

	Path log() {
		return this.log;
	}

	/** Returns the status of the readiness check, 0 if there was no answer within a second. */
	int readiness() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.address, this.ready), 1000);
			socket.setSoTimeout(1000);
			socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
			Http.Message answer = Http.read(socket.getInputStream());
			return (answer != null) ? answer.status() : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/** Returns a figure of the metrics page, -1 if it can't be read. */
	double metric(String metric) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.address, this.ready), 1000);
			socket.setSoTimeout(1000);
			socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
			return Http.read(socket.getInputStream())
				.text()
				.lines()
				.filter((line) -> line.startsWith("balsamlane_" + metric + " "))
				.mapToDouble((line) -> Double.parseDouble(line.substring(line.indexOf(' '))))
				.findFirst()
				.orElse(-1);
		}
		catch (IOException ex) {
			return -1;
		}
	}

	/** Waits until the router is ready and knows a number of servers. */
	boolean awaitReady(int servers, long millis) throws InterruptedException {
		long untilNanos = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() - untilNanos < 0) {
			if (readiness() == 200 && metric("servers_usable") >= servers) {
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	/** Waits until all routers know a number of servers; ends the process with 2 if they don't. */
	static void awaitAll(List<Router> routers, int servers, Record record) throws InterruptedException {
		for (Router router : routers) {
			if (!router.awaitReady(servers, 30_000)) {
				record.say("%s is not ready; see %s", router.name, router.log());
				System.exit(2);
			}
		}
	}

	/** Sends a request over a new connection and reads the answer. */
	Reply call(String head, byte[] body, int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.address, this.front), 1000);
			socket.setSoTimeout(timeoutMillis);
			socket.getOutputStream().write(head.getBytes());
			socket.getOutputStream().write(body);
			socket.getOutputStream().flush();
			Http.Message answer = Http.read(socket.getInputStream());
			return (answer != null) ? new Reply(answer, "answered " + answer.status()) : new Reply(null, "closed");
		}
		catch (SocketTimeoutException ex) {
			return new Reply(null, "no answer in " + timeoutMillis + " ms");
		}
		catch (IOException ex) {
			return new Reply(null, "broken: " + ex.getMessage());
		}
	}

	/** What came back: the answer, null if there was none, and a word for the record. */
	record Reply(Http.Message answer, String outcome) {

		int status() {
			return (this.answer != null) ? this.answer.status() : 0;
		}

	}

}
