import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in for the platform's metadata store. Each router has an address of its own to the
 * same store, so that the store can turn away single routers.
 */
final class Store {

	private static final Pattern PUT = Pattern
		.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"(?:,\"lease\":(\\d+))?");

	private static final Pattern EXPECTED = Pattern.compile("\"key\":\"([^\"]*)\",\"revision\":(\\d+)");

	private static final int PAGE_BYTES = 1 << 20;

	private record Item(String key, String value, long revision, long created, long lease) {

		String json() {
			return "{\"key\":\"" + this.key + "\",\"value\":\"" + this.value + "\",\"revision\":" + this.revision
					+ ",\"created\":" + this.created + ",\"lease\":" + this.lease + "}";
		}

	}

	private record Event(String key, long revision, String json) {
	}

	private static final class Lease {

		private long ttlMillis;

		private long endNanos;

	}

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "store");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, Item> items = new TreeMap<>();

	private final List<Event> events = new ArrayList<>();

	private final Map<Long, Lease> leases = new TreeMap<>();

	private long revision = 100;

	/** Entries of replicas are removed after three heartbeat intervals of silence. */
	private static final long SILENCE_NANOS = 3_600_000_000L;

	private final Map<String, Long> writtenNanos = new TreeMap<>();

	private long lastLease = 7000;

	Store() {
		this.threads.execute(this::endLeases);
	}

	/** Listen at a further address. While the flag is set, it turns all calls away. */
	int listen(AtomicBoolean refusing) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
		server.setExecutor(this.threads);
		server.createContext("/", (exchange) -> handle(exchange, refusing));
		server.start();
		return server.getAddress().getPort();
	}

	/** Write as the operator or a replica does; returns once the store has acknowledged. */
	synchronized long write(String key, String value) {
		return put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			this.events.add(new Event(key, this.revision,
					"{\"key\":\"" + key + "\",\"revision\":" + this.revision + ",\"removed\":true}"));
			notifyAll();
		}
	}

	private long put(String key, String value, long lease) {
		Item old = this.items.get(key);
		this.writtenNanos.put(key, System.nanoTime());
		this.revision++;
		Item item = new Item(key, value, this.revision, (old != null) ? old.created() : this.revision, lease);
		this.items.put(key, item);
		this.events.add(new Event(key, this.revision, item.json()));
		notifyAll();
		return this.revision;
	}

	private void endLeases() {
		while (true) {
			try {
				Thread.sleep(100);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				long now = System.nanoTime();
				this.items.values()
					.stream()
					.filter((item) -> item.key().startsWith("servers/")
							&& now - this.writtenNanos.getOrDefault(item.key(), now) > SILENCE_NANOS)
					.map(Item::key)
					.toList()
					.forEach(this::remove);
				this.leases.entrySet()
					.stream()
					.filter((lease) -> now - lease.getValue().endNanos > 0)
					.map(Map.Entry::getKey)
					.toList()
					.forEach(this::endLease);
			}
		}
	}

	private boolean endLease(long id) {
		if (this.leases.remove(id) == null) {
			return false;
		}
		this.items.values()
			.stream()
			.filter((item) -> item.lease() == id)
			.map(Item::key)
			.toList()
			.forEach(this::remove);
		return true;
	}

	private void handle(HttpExchange exchange, AtomicBoolean refusing) {
		try (exchange) {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			if (refusing.get()) {
				respond(exchange, 503, "{}");
				return;
			}
			String path = exchange.getRequestURI().getPath();
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			if (path.equals("/v1/kv-watch")) {
				watch(exchange, query, refusing);
				return;
			}
			int[] status = { 200 };
			String answer = call(path, query, body, status);
			respond(exchange, status[0], answer);
		}
		catch (IOException | InterruptedException ex) {
			// The router has closed the connection.
		}
	}

	private synchronized String call(String path, Map<String, String> query, String body, int[] status) {
		if (path.equals("/v1/kv-range")) {
			String after = query.getOrDefault("after", "");
			List<Item> found = this.items.values()
				.stream()
				.filter((item) -> item.key().startsWith(query.get("prefix")) && item.key().compareTo(after) > 0)
				.toList();
			int count = 0;
			for (long bytes = 0; count < found.size() && count < 500 && (count == 0 || bytes < PAGE_BYTES); count++) {
				bytes += found.get(count).value().length();
			}
			return "{\"items\":[" + String.join(",", found.subList(0, count).stream().map(Item::json).toList())
					+ "],\"truncated\":" + (count < found.size()) + ",\"at_rev\":" + this.revision + "}";
		}
		if (path.equals("/v1/kv-key")) {
			Item item = this.items.get(query.get("key"));
			status[0] = (item != null) ? 200 : 404;
			return (item != null) ? item.json() : "{}";
		}
		if (path.equals("/v1/kv-txn")) {
			return transaction(body, status);
		}
		if (path.equals("/v1/kv-lease")) {
			Matcher matcher = Pattern.compile("\"ttl_ms\":(\\d+)").matcher(body);
			matcher.find();
			Lease lease = new Lease();
			lease.ttlMillis = Long.parseLong(matcher.group(1));
			lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
			this.leases.put(++this.lastLease, lease);
			return "{\"lease\":" + this.lastLease + ",\"ttl_ms\":" + lease.ttlMillis + "}";
		}
		long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
		if (path.startsWith("/v1/kv-keep/")) {
			Lease lease = this.leases.get(id);
			if (lease == null) {
				status[0] = 404;
				return "{}";
			}
			lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
			return "{\"ttl_ms\":" + lease.ttlMillis + "}";
		}
		status[0] = endLease(id) ? 200 : 404;
		return "{}";
	}

	private String transaction(String body, int[] status) {
		int puts = body.indexOf("\"put\":");
		int deletes = body.indexOf("\"delete\":");
		Matcher expected = EXPECTED.matcher(body.substring(0, puts));
		while (expected.find()) {
			Item item = this.items.get(expected.group(1));
			if (((item != null) ? item.revision() : 0) != Long.parseLong(expected.group(2))) {
				status[0] = 412;
				return "{\"items\":[" + ((item != null) ? item.json() : "") + "]}";
			}
		}
		Matcher put = PUT.matcher(body.substring(puts, deletes));
		while (put.find()) {
			long lease = (put.group(3) != null) ? Long.parseLong(put.group(3)) : 0;
			if (lease != 0 && !this.leases.containsKey(lease)) {
				status[0] = 404;
				return "{}";
			}
			put(put.group(1), put.group(2), lease);
		}
		Matcher delete = Pattern.compile("\"([^\"]+)\"").matcher(body.substring(deletes + 9));
		while (delete.find()) {
			remove(delete.group(1));
		}
		return "{\"revision\":" + this.revision + "}";
	}

	private void watch(HttpExchange exchange, Map<String, String> query, AtomicBoolean refusing)
			throws IOException, InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long endNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
		String answer;
		synchronized (this) {
			while (true) {
				List<String> found = this.events.stream()
					.filter((event) -> event.revision() > after && event.key().startsWith(query.get("prefix")))
					.map(Event::json)
					.toList();
				long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
				if (!found.isEmpty() || leftMillis <= 0 || refusing.get()) {
					answer = "{\"events\":[" + String.join(",", found) + "],\"at_rev\":" + this.revision + "}";
					break;
				}
				wait(Math.min(leftMillis, 100));
			}
		}
		if (refusing.get()) {
			respond(exchange, 503, "{}");
		}
		else {
			respond(exchange, 200, answer);
		}
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new TreeMap<>();
		for (String part : (text != null) ? text.split("&") : new String[0]) {
			int equals = part.indexOf('=');
			query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	private static void respond(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.getResponseHeaders().set("Store-Era", "1");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

}
