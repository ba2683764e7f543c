package io.balsamlane.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Runs stand-ins and routers as separate processes on the loopback interface.
 * <p>
 * The platform store and the host list are started with the fleet. The host list is
 * published again whenever a host is added, removed or marked as leaving. Processes may
 * be started from several threads. {@link #close()} kills all processes and deletes their
 * files.
 */
public final class Fleet implements AutoCloseable {

	private static final Pattern LISTENING = Pattern.compile("listening (\\d+)");

	private static final Pattern READY = Pattern.compile("ready callers=(\\d+) admin=(\\d+)(?: peer=(\\d+))?");

	private static final List<String> STAND_IN_JVM_OPTIONS = List.of("-Xmx96m", "-XX:+UseSerialGC",
			"-XX:TieredStopAtLevel=1");

	private static final List<String> ROUTER_JVM_OPTIONS = List.of("-Xms64m", "-Xmx160m", "-XX:+UseSerialGC");

	private static final List<String> TOOL_JVM_OPTIONS = List.of("-Xmx96m", "-XX:+UseSerialGC",
			"-XX:TieredStopAtLevel=1");

	private static final int POLL_MILLIS = 20;

	private final Path directory;

	private final FleetHttp http = FleetHttp.create();

	private final Map<String, ChildProcess> standIns = Collections.synchronizedMap(new LinkedHashMap<>());

	private final Map<String, Integer> ports = Collections.synchronizedMap(new LinkedHashMap<>());

	private final Map<String, JsonObject> hosts = new LinkedHashMap<>();

	private final Map<String, RouterProcess> routers = Collections.synchronizedMap(new LinkedHashMap<>());

	private Fleet(Path directory) {
		this.directory = directory;
	}

	/**
	 * Start the platform store and an empty host list.
	 * @param hostLagMillis lag of the host list, in milliseconds
	 * @return the fleet
	 */
	public static Fleet create(int hostLagMillis) {
		try {
			Fleet fleet = new Fleet(Files.createTempDirectory("balsamlane-fleet-"));
			Path empty = Files.writeString(fleet.directory.resolve("hosts.json"), "[]");
			fleet.standIn("store", List.of("store"));
			fleet.standIn("hosts",
					List.of("hosts", "--file", empty.toString(), "--lag-millis", Integer.toString(hostLagMillis)));
			return fleet;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private int standIn(String name, List<String> args) {
		ChildProcess process = ChildProcess.start(name, this.directory, STAND_IN_JVM_OPTIONS,
				"io.balsamlane.standin.StandInMain", args);
		this.standIns.put(name, process);
		int port = Integer.parseInt(process.awaitLine(LISTENING).group(1));
		this.ports.put(name, port);
		return port;
	}

	/**
	 * Start an engine and add it to the host list.
	 * @param name name of the engine
	 * @param pool name of the pool
	 * @param place place of the host
	 * @param region region of the place
	 * @param options additional command line options of the stand-in
	 * @return the port
	 */
	public int engine(String name, String pool, String place, String region, String... options) {
		return backend(name, "engine", pool, place, region, options);
	}

	/**
	 * Start several engines in one process and add them to the host list as
	 * {@code NAME-1}, {@code NAME-2} and so on.
	 * @param name name of the process
	 * @param pool name of the pool
	 * @param place place of the hosts
	 * @param region region of the place
	 * @param count number of engines
	 * @param options additional command line options of the stand-ins
	 * @return the ports, in the order of the names
	 */
	public List<Integer> engines(String name, String pool, String place, String region, int count, String... options) {
		List<String> args = new ArrayList<>(List.of("engine", "--name", name, "--count", Integer.toString(count)));
		args.addAll(List.of(options));
		ChildProcess process = ChildProcess.start(name, this.directory, STAND_IN_JVM_OPTIONS,
				"io.balsamlane.standin.StandInMain", args);
		this.standIns.put(name, process);
		Pattern all = Pattern.compile("(?:listening \\d+\\s+){" + count + "}");
		await(name + " listens", Duration.ofSeconds(30), () -> all.matcher(process.output()).find());
		List<Integer> found = LISTENING.matcher(process.output())
			.results()
			.map((match) -> Integer.parseInt(match.group(1)))
			.toList();
		for (int i = 0; i < count; i++) {
			String engine = (count > 1) ? name + "-" + (i + 1) : name;
			this.ports.put(engine, found.get(i));
			list(engine, "engine", pool, place, region, found.get(i));
		}
		return found;
	}

	/**
	 * Start a replica of a plain service and add it to the host list.
	 * @param name name of the replica
	 * @param service name of the service
	 * @param place place of the host
	 * @param region region of the place
	 * @param options additional command line options of the stand-in
	 * @return the port
	 */
	public int service(String name, String service, String place, String region, String... options) {
		return backend(name, "service", service, place, region, options);
	}

	private int backend(String name, String kind, String group, String place, String region, String... options) {
		List<String> args = new ArrayList<>(List.of(kind, "--name", name));
		args.addAll(List.of(options));
		int port = standIn(name, args);
		list(name, kind, group, place, region, port);
		return port;
	}

	private synchronized void list(String name, String kind, String group, String place, String region, int port) {
		this.hosts.put(name,
				new JsonObject().put("host", name)
					.put("kind", kind)
					.put("name", group)
					.put("place", place)
					.put("region", region)
					.put("address", "127.0.0.1")
					.put("port", port)
					.put("state", "live"));
		publishHosts();
	}

	/**
	 * Mark a host as leaving. The change becomes visible after the lag of the host list.
	 * @param name name of the host
	 */
	public synchronized void markLeaving(String name) {
		this.hosts.get(name).put("state", "leaving");
		publishHosts();
	}

	/**
	 * Remove a host from the host list. The change becomes visible after the lag of the
	 * host list.
	 * @param name name of the host
	 */
	public synchronized void unlist(String name) {
		this.hosts.remove(name);
		publishHosts();
	}

	private void publishHosts() {
		JsonArray list = new JsonArray(List.copyOf(this.hosts.values()));
		this.http.send("PUT", standInUrl("hosts", "/stand-in/hosts"), list.encode(), Map.of());
	}

	/**
	 * Start a router and add it to the host list if it has a peer port.
	 * @param name host name of the router
	 * @param place place of the host
	 * @param region region of the place
	 * @param overrides settings that differ from the defaults, by {@code section.key}
	 * @return the router, which accepts requests once a configuration is active
	 */
	public RouterProcess router(String name, String place, String region, Map<String, String> overrides) {
		Path file = this.directory.resolve(name + ".ini");
		writeSettings(file, name, place, region, overrides);
		ChildProcess process = ChildProcess.start(name, this.directory, ROUTER_JVM_OPTIONS,
				"io.balsamlane.router.RouterMain", List.of("--config", file.toString()));
		Matcher ready = process.awaitLine(READY);
		int peerPort = (ready.group(3) != null) ? Integer.parseInt(ready.group(3)) : 0;
		RouterProcess router = new RouterProcess(process, place, region, overrides, Integer.parseInt(ready.group(1)),
				Integer.parseInt(ready.group(2)), peerPort);
		this.routers.put(name, router);
		if (peerPort > 0) {
			list(name, "router", "router", place, region, peerPort);
		}
		return router;
	}

	private void writeSettings(Path file, String name, String place, String region, Map<String, String> overrides) {
		Map<String, Map<String, String>> sections = new TreeMap<>();
		Map<String, String> settings = new TreeMap<>(
				Map.of("node.host", name, "node.place", place, "node.region", region, "store.url",
						standInUrl("store", ""), "hosts.url", standInUrl("hosts", "/v1/hosts"), "hosts.poll_millis",
						"200", "edge.port", "0", "edge.admin_port", "0", "edge.balancer_notice_millis", "200"));
		settings.put("peer.port", "0");
		settings.putAll(overrides);
		settings.forEach((key, value) -> sections
			.computeIfAbsent(key.substring(0, key.indexOf('.')), (section) -> new TreeMap<>())
			.put(key.substring(key.indexOf('.') + 1), value));
		StringBuilder text = new StringBuilder();
		sections.forEach((section, keys) -> {
			text.append('[').append(section).append("]\n");
			keys.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
		});
		try {
			Files.writeString(file, text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Restart a router with the same name and settings after its process has exited.
	 * @param name host name of the router
	 * @return the router with its new process
	 */
	public RouterProcess restartRouter(String name) {
		RouterProcess old = this.routers.get(name);
		return router(name, old.place(), old.region(), old.overrides());
	}

	/**
	 * Return a router.
	 * @param name host name of the router
	 * @return the router
	 */
	public RouterProcess router(String name) {
		return this.routers.get(name);
	}

	/**
	 * Return all routers, in the order in which they were first started.
	 * @return the routers
	 */
	public List<RouterProcess> routers() {
		return List.copyOf(this.routers.values());
	}

	/**
	 * Return the process of a stand-in.
	 * @param name name of the stand-in; {@code store} and {@code hosts} name the platform
	 * store and the host list
	 * @return the process
	 */
	public ChildProcess standIn(String name) {
		return this.standIns.get(name);
	}

	/**
	 * Return a URL of a stand-in.
	 * @param name name of the stand-in
	 * @param path path and query
	 * @return the URL
	 */
	public String standInUrl(String name, String path) {
		return "http://127.0.0.1:" + this.ports.get(name) + path;
	}

	/**
	 * Set faults of a stand-in.
	 * @param name name of the stand-in
	 * @param faults the values of the faults by name
	 */
	public void faults(String name, JsonObject faults) {
		this.http.send("POST", standInUrl(name, "/stand-in/faults"), faults.encode(), Map.of());
	}

	/**
	 * Read the state or the ledger of a stand-in.
	 * @param name name of the stand-in
	 * @param what name of the resource below {@code /stand-in/}
	 * @return the JSON text
	 */
	public String inspect(String name, String what) {
		return this.http.get(standInUrl(name, "/stand-in/" + what)).body();
	}

	/**
	 * Return the HTTP client of this fleet.
	 * @return the client
	 */
	public FleetHttp http() {
		return this.http;
	}

	/**
	 * Run the command line tool for operators with the URLs of all running routers.
	 * @param args arguments without {@code --server}
	 * @return the process, which has exited
	 */
	public ChildProcess control(String... args) {
		String servers = String.join(",",
				this.routers.values()
					.stream()
					.filter((router) -> router.process().alive())
					.map((router) -> router.adminUrl(""))
					.toList());
		List<String> all = Stream.concat(Stream.of("--server", servers), Stream.of(args)).toList();
		ChildProcess tool = ChildProcess.start("tool", this.directory, TOOL_JVM_OPTIONS,
				"io.balsamlane.cli.ControlMain", all);
		tool.awaitExit(Duration.ofSeconds(60));
		return tool;
	}

	/**
	 * Apply configuration objects with the command line tool for operators and wait until
	 * every running router is ready.
	 * @param objects configuration objects in INI format
	 */
	public void apply(String objects) {
		try {
			Path file = Files.writeString(Files.createTempFile(this.directory, "objects-", ".ini"), objects);
			ChildProcess tool = control("apply", "--file", file.toString());
			if (tool.awaitExit(Duration.ofSeconds(1)) != 0) {
				throw new IllegalStateException("apply failed:\n" + tool.output() + tool.errors());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		await("every router is ready", Duration.ofSeconds(15),
				() -> this.routers.values()
					.stream()
					.filter((router) -> router.process().alive())
					.allMatch((router) -> this.http.get(router.adminUrl("/ready")).status() == 200));
	}

	/**
	 * Wait until a condition holds.
	 * @param what description of the condition for the error message
	 * @param limit maximum time to wait
	 * @param condition the condition
	 */
	public static void await(String what, Duration limit, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + limit.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadlineNanos > 0) {
				throw new AssertionError("Condition not met within " + limit + ": " + what);
			}
			try {
				TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException("Interrupted while waiting until " + what, ex);
			}
		}
	}

	@Override
	public void close() {
		Stream.concat(this.routers.values().stream().map(RouterProcess::process), this.standIns.values().stream())
			.filter(ChildProcess::alive)
			.forEach(ChildProcess::kill);
		try (Stream<Path> files = Files.walk(this.directory)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
