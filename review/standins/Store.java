import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the platform's metadata store: items with revisions, pages, watches,
 * transactions and leases that lapse.
 */
final class Store {

	private static final Pattern ROW = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}");

	private static final Pattern PUT = Pattern
		.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"(?:,\"lease\":(\\d+))?\\}");

	private static final Pattern TTL = Pattern.compile("\"ttl_ms\":(\\d+)");

	private static final int PAGE_ITEMS = 500;

	private final HttpServer server;

	private final Map<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private long revision = 100;

	private long lastLease = 7000;

	Store(String address, int port) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(address), port), 256);
		this.server.setExecutor(Executors.newCachedThreadPool());
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	synchronized long put(String key, String value) {
		return write(key, value.getBytes(StandardCharsets.UTF_8), 0);
	}

	synchronized long remove(String key) {
		if (this.items.remove(key) != null) {
			this.history.add(new Item(key, null, ++this.revision, 0, 0));
			notifyAll();
		}
		return this.revision;
	}

	private long write(String key, byte[] value, long lease) {
		Item old = this.items.get(key);
		this.revision++;
		Item item = new Item(key, value, this.revision, (old != null) ? old.created : this.revision, lease);
		this.items.put(key, item);
		this.history.add(item);
		notifyAll();
		return this.revision;
	}

	private synchronized void expireLeases() {
		long nowNanos = System.nanoTime();
		List<Long> ended = this.leases.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().untilNanos >= 0)
			.map(Map.Entry::getKey)
			.toList();
		ended.forEach(this::endLease);
	}

	private void endLease(long id) {
		this.leases.remove(id);
		List.copyOf(this.items.values())
			.stream()
			.filter((item) -> item.lease == id)
			.forEach((item) -> remove(item.key));
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			String path = exchange.getRequestURI().getPath();
			expireLeases();
			Answer answer = switch (path) {
				case "/v1/kv-key" -> key(query.get("key"));
				case "/v1/kv-range" -> range(query.get("prefix"), query.getOrDefault("after", ""));
				case "/v1/kv-watch" -> watch(query.get("prefix"), Long.parseLong(query.get("after")),
						Long.parseLong(query.get("wait_ms")));
				case "/v1/kv-txn" -> transaction(body);
				case "/v1/kv-lease" -> grant(body);
				default -> lease(path);
			};
			byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(answer.status, bytes.length);
			exchange.getResponseBody().write(bytes);
			exchange.close();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> query = new HashMap<>();
		for (String part : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = part.indexOf('=');
			query.put(part.substring(0, equals),
					URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	private synchronized Answer key(String key) {
		Item item = this.items.get(key);
		return (item != null) ? new Answer(200, item.json(this.revision)) : new Answer(404, "{}");
	}

	private synchronized Answer range(String prefix, String after) {
		List<Item> found = this.items.values()
			.stream()
			.filter((item) -> item.key.startsWith(prefix) && item.key.compareTo(after) > 0)
			.toList();
		List<String> page = found.stream().limit(PAGE_ITEMS).map((item) -> item.json(0)).toList();
		return new Answer(200, "{\"items\":[" + String.join(",", page) + "],\"truncated\":"
				+ (found.size() > PAGE_ITEMS) + ",\"at_rev\":" + this.revision + "}");
	}

	private synchronized Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
		long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
		while (true) {
			List<String> events = this.history.stream()
				.filter((item) -> item.revision > after && item.key.startsWith(prefix))
				.map((item) -> item.json(0))
				.toList();
			long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMillis <= 0) {
				return new Answer(200, "{\"events\":[" + String.join(",", events) + "],\"at_rev\":" + this.revision + "}");
			}
			wait(leftMillis);
		}
	}

	private synchronized Answer transaction(String body) {
		int putAt = body.indexOf("\"put\":");
		for (Matcher row = ROW.matcher(body.substring(0, putAt)); row.find();) {
			Item item = this.items.get(row.group(1));
			if (((item != null) ? item.revision : 0) != Long.parseLong(row.group(2))) {
				return new Answer(412, "{\"items\":[" + ((item != null) ? item.json(0) : "") + "]}");
			}
		}
		String writes = body.substring(putAt);
		for (Matcher put = PUT.matcher(writes); put.find();) {
			if (put.group(3) != null && !this.leases.containsKey(Long.parseLong(put.group(3)))) {
				return new Answer(404, "{}");
			}
		}
		for (Matcher put = PUT.matcher(writes); put.find();) {
			write(put.group(1), Base64.getDecoder().decode(put.group(2)),
					(put.group(3) != null) ? Long.parseLong(put.group(3)) : 0);
		}
		return new Answer(200, "{\"revision\":" + this.revision + "}");
	}

	private synchronized Answer grant(String body) {
		Matcher ttl = TTL.matcher(body);
		long millis = ttl.find() ? Long.parseLong(ttl.group(1)) : 3000;
		this.leases.put(++this.lastLease, new Lease(millis));
		return new Answer(200, "{\"lease\":" + this.lastLease + ",\"ttl_ms\":" + millis + "}");
	}

	private synchronized Answer lease(String path) {
		long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return new Answer(404, "{}");
		}
		if (path.startsWith("/v1/kv-lease-end/")) {
			endLease(id);
		}
		else {
			lease.untilNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
		}
		return new Answer(200, "{\"ttl_ms\":" + lease.ttlMillis + "}");
	}

	private record Answer(int status, String body) {
	}

	private static final class Lease {

		private final long ttlMillis;

		private long untilNanos;

		Lease(long ttlMillis) {
			this.ttlMillis = ttlMillis;
			this.untilNanos = System.nanoTime() + ttlMillis * 1_000_000;
		}

	}

	private record Item(String key, byte[] value, long revision, long created, long lease) {

		String json(long atRevision) {
			if (this.value == null) {
				return "{\"key\":\"" + this.key + "\",\"revision\":" + this.revision + ",\"removed\":true}";
			}
			return "{\"key\":\"" + this.key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(this.value)
					+ "\",\"revision\":" + this.revision + ",\"created\":" + this.created + ",\"lease\":" + this.lease
					+ ((atRevision > 0) ? ",\"at_rev\":" + atRevision : "") + "}";
		}

	}

}
