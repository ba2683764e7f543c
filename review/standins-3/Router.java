import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One router, started with the run line of the deploy file on a loopback address. */
final class Router implements AutoCloseable {

	final String name;

	final String address;

	final int frontPort;

	final int readyPort;

	private final Path output;

	private final Path settings;

	private Process process;

	/**
	 * Prepare the settings of a router.
	 * @param directory temporary directory
	 * @param name name of the machine
	 * @param address loopback address of the machine
	 * @param zone zone of the machine
	 * @param peerPort first port for messages between routers, the same on all machines
	 * @param storePort port of the store for this machine
	 * @param seeds addresses of some machines
	 * @param more further lines of the settings
	 */
	Router(Path directory, String name, String address, String zone, int peerPort, int storePort, List<String> seeds,
			String more) throws IOException {
		this.name = name;
		this.address = address;
		this.frontPort = freePort(address);
		this.readyPort = freePort(address);
		int controlPort = freePort(address);
		this.output = directory.resolve(name + ".out");
		this.settings = directory.resolve(name + ".conf");
		String seedList = String.join(",", seeds.stream().map((seed) -> seed + ":" + controlPort).toList());
		Files.writeString(this.settings, """
				node_name=%s
				role=router
				machine_class=edge
				serves=edge,control_plane
				ip=%s
				zone=%s
				region=region-%s
				zones.a=region-a
				zones.b=region-b
				listen_addrs.front=%s:%d
				listen_addrs.ready=%s:%d
				listen_addrs.control=%s:%d
				port_range=%d,%d
				seed_nodes=%s
				bootstrap=true
				limits.cpu_share=0.75
				limits.cpu_cores=1
				limits.memory_mb=280
				limits.max_fds=4100
				discovery=platform
				entry=vip
				heartbeat_ms=1200
				contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform
				bounds.contact_ms=4000
				bounds.drain_ms=2500
				bounds.grace_s=8
				bounds.loss_slack_ms=200
				bounds.config_apply_ms=2500
				bounds.max_stretch_ms=6000
				bounds.retry_budget=0.2
				bounds.budget_window_s=10
				bounds.retry_slack=54
				bounds.require_fence=true
				bounds.lease_ms=3000
				platform.address=127.0.0.1:%d
				platform.form=kv
				%s
				""".formatted(name, address, zone, zone, address, this.frontPort, address, this.readyPort, address,
				controlPort, peerPort, peerPort + 15, seedList, storePort, more));
	}

	static int freePort(String address) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
			return socket.getLocalPort();
		}
	}

	/** Start the router from the root of the repository. */
	void start() throws IOException {
		String run = Files.readAllLines(Path.of("deploy", "system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		ProcessBuilder builder = new ProcessBuilder(
				run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "))
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.output.toFile()));
		builder.environment().put("BALSAMLANE_CONFIG", this.settings.toString());
		this.process = builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
	}

	/** Wait until the router answers its readiness check and knows some servers. */
	boolean awaitReady(int servers, long limitMillis) throws IOException {
		long endNanos = System.nanoTime() + limitMillis * 1_000_000;
		while (System.nanoTime() < endNanos && alive()) {
			if (status("/v1/ready") == 200 && metric("balsamlane_servers_usable") >= servers) {
				return true;
			}
			Replica.sleep(100);
		}
		return false;
	}

	private int status(String path) {
		try {
			return connection(path).getResponseCode();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/** Return the value of a metric, -1 if it cannot be read. */
	double metric(String metric) {
		try {
			String text = new String(connection("/metrics").getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			return text.lines()
				.filter((line) -> line.startsWith(metric + " "))
				.mapToDouble((line) -> Double.parseDouble(line.substring(metric.length() + 1)))
				.findFirst()
				.orElse(-1);
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private HttpURLConnection connection(String path) throws IOException {
		HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + this.address + ":" + this.readyPort + path)
			.toURL()
			.openConnection();
		connection.setConnectTimeout(1000);
		connection.setReadTimeout(1000);
		return connection;
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	long pid() {
		return this.process.pid();
	}

	String output() throws IOException {
		return Files.readString(this.output);
	}

	@Override
	public void close() {
		if (this.process != null) {
			try {
				this.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
