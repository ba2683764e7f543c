package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The platform's store: items with revisions, watches, leases, and the drill in which it
 * is away for a moment and comes back from an earlier copy.
 */
final class Store {

	private static final int PAGE = 500;

	private final Recorder record;

	private final ServerSocket socket;

	private TreeMap<String, Item> items = new TreeMap<>();

	private List<Change> history = new ArrayList<>();

	private Map<Long, Lease> leases = new LinkedHashMap<>();

	private long revision = 100;

	private long nextLease = 7000;

	private long era = 1;

	private boolean away;

	private long configurationWatches;

	/** Whether connections end with a reset while the store is away. */
	private boolean resets;

	/** Connections that were open when the store went away; they stay silent. */
	private final Set<Socket> silenced = new HashSet<>();

	private final Set<Socket> open = new HashSet<>();

	private record Item(String key, byte[] value, long revision, long created, long lease) {
	}

	private record Change(long revision, String key, Item item) {
	}

	private record Lease(long ttlMillis, long untilNanos) {
	}

	/** A copy of the contents of the store. */
	record Copy(TreeMap<String, Item> items, List<Change> history, Map<Long, Lease> leases, long revision) {
	}

	private Store(Recorder record, ServerSocket socket) {
		this.record = record;
		this.socket = socket;
	}

	static Store start(Recorder record) throws IOException {
		Store store = new Store(record, new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1")));
		daemon("store", store::accept);
		daemon("store-leases", store::expireLeases);
		return store;
	}

	static void daemon(String name, ThrowingRunnable action) {
		Thread thread = new Thread(() -> {
			try {
				action.run();
			}
			catch (Exception ex) {
				// The connection or the test has ended.
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
	}

	/** An action that may fail. */
	interface ThrowingRunnable {

		void run() throws Exception;

	}

	int port() {
		return this.socket.getLocalPort();
	}

	private void accept() throws IOException {
		while (true) {
			Socket connection = this.socket.accept();
			connection.setTcpNoDelay(true);
			daemon("store-connection", () -> serve(connection));
		}
	}

	private void serve(Socket connection) throws Exception {
		synchronized (this) {
			this.open.add(connection);
			if (this.away && this.resets) {
				reset(connection);
				return;
			}
			if (this.away) {
				this.silenced.add(connection);
			}
		}
		try (connection) {
			InputStream in = connection.getInputStream();
			while (true) {
				Http.Message request = Http.read(in, false);
				if (request == null) {
					return;
				}
				if (isSilenced(connection)) {
					continue;
				}
				Thread.sleep(4);
				byte[] response = answer(request, connection);
				if (response == null || isSilenced(connection)) {
					continue;
				}
				connection.getOutputStream().write(response);
			}
		}
		finally {
			synchronized (this) {
				this.open.remove(connection);
			}
		}
	}

	private synchronized boolean isSilenced(Socket connection) {
		return this.silenced.contains(connection);
	}

	private byte[] json(int status, Object body) {
		return Http.response(status, Json.headers("Content-Type", "application/json", "Store-Era", String.valueOf(this.era)),
				Json.write(body).getBytes(StandardCharsets.UTF_8));
	}

	private synchronized byte[] answer(Http.Message request, Socket connection) throws InterruptedException {
		String path = request.path();
		if (path.equals("/v1/kv-key")) {
			Item item = this.items.get(request.query().get("key"));
			if (item == null) {
				return json(404, Json.of("at_rev", this.revision));
			}
			Map<String, Object> body = json(item);
			body.put("at_rev", this.revision);
			return json(200, body);
		}
		if (path.equals("/v1/kv-range")) {
			String prefix = request.query().get("prefix");
			String after = request.query().getOrDefault("after", "");
			List<Object> page = new ArrayList<>();
			boolean truncated = false;
			for (Item item : this.items.values()) {
				if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
					if (page.size() == PAGE) {
						truncated = true;
						break;
					}
					page.add(json(item));
				}
			}
			return json(200, Json.of("items", page, "truncated", truncated, "at_rev", this.revision));
		}
		if (path.equals("/v1/kv-watch")) {
			return watch(request, connection);
		}
		if (path.equals("/v1/kv-txn")) {
			return transaction(Json.object(request.text()), true);
		}
		if (path.equals("/v1/kv-lease")) {
			long ttlMillis = (Long) Json.object(request.text()).get("ttl_ms");
			long lease = this.nextLease++;
			this.leases.put(lease, new Lease(ttlMillis, System.nanoTime() + ttlMillis * 1_000_000));
			return json(200, Json.of("lease", lease, "ttl_ms", ttlMillis));
		}
		if (path.startsWith("/v1/kv-keep/")) {
			long lease = Long.parseLong(path.substring("/v1/kv-keep/".length()));
			Lease known = this.leases.get(lease);
			if (known == null) {
				return json(404, Json.of());
			}
			this.leases.put(lease, new Lease(known.ttlMillis(), System.nanoTime() + known.ttlMillis() * 1_000_000));
			return json(200, Json.of("lease", lease, "ttl_ms", known.ttlMillis()));
		}
		if (path.startsWith("/v1/kv-lease-end/")) {
			endLease(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
			return json(200, Json.of());
		}
		return json(404, Json.of());
	}

	private byte[] watch(Http.Message request, Socket connection) throws InterruptedException {
		String prefix = request.query().get("prefix");
		long after = Long.parseLong(request.query().get("after"));
		this.configurationWatches += prefix.startsWith("op/") ? 1 : 0;
		long untilNanos = System.nanoTime() + Long.parseLong(request.query().get("wait_ms")) * 1_000_000;
		while (true) {
			if (isSilenced(connection)) {
				return null;
			}
			if (after > this.revision) {
				this.record.line("store: watch of " + prefix + " from " + after + " gets 410, revision is "
						+ this.revision);
				return json(410, Json.of("at_rev", this.revision));
			}
			List<Object> events = new ArrayList<>();
			for (Change change : this.history) {
				if (change.revision() > after && change.key().startsWith(prefix)) {
					events.add((change.item() != null) ? json(change.item())
							: Json.of("key", change.key(), "revision", change.revision(), "removed", true));
				}
			}
			long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMillis <= 0) {
				return json(200, Json.of("events", events, "at_rev", this.revision));
			}
			wait(leftMillis);
		}
	}

	@SuppressWarnings("unchecked")
	private byte[] transaction(Map<String, Object> body, boolean ofSystem) {
		List<Object> expected = (List<Object>) body.getOrDefault("expected", List.of());
		boolean matches = true;
		List<Object> present = new ArrayList<>();
		for (Object row : expected) {
			Map<String, Object> entry = (Map<String, Object>) row;
			Item item = this.items.get(entry.get("key"));
			matches &= ((item != null) ? item.revision() : 0) == (Long) entry.get("revision");
			if (item != null) {
				present.add(json(item));
			}
		}
		if (!matches) {
			return json(412, Json.of("items", present));
		}
		List<Object> puts = (List<Object>) body.getOrDefault("put", List.of());
		for (Object row : puts) {
			Object lease = ((Map<String, Object>) row).getOrDefault("lease", 0L);
			if ((Long) lease != 0 && !this.leases.containsKey(lease)) {
				return json(404, Json.of());
			}
		}
		this.revision++;
		for (Object row : puts) {
			Map<String, Object> entry = (Map<String, Object>) row;
			String key = (String) entry.get("key");
			if (ofSystem && (key.startsWith("op/") || key.startsWith("servers/"))) {
				return json(403, Json.of());
			}
			store(key, Base64.getDecoder().decode((String) entry.get("value")),
					(Long) entry.getOrDefault("lease", 0L));
			this.record.line("store: the system wrote " + key + " at revision " + this.revision);
		}
		for (Object key : (List<Object>) body.getOrDefault("delete", List.of())) {
			remove((String) key);
		}
		notifyAll();
		return json(200, Json.of("revision", this.revision));
	}

	private void store(String key, byte[] value, long lease) {
		Item known = this.items.get(key);
		Item item = new Item(key, value, this.revision, (known != null) ? known.created() : this.revision, lease);
		this.items.put(key, item);
		this.history.add(new Change(this.revision, key, item));
	}

	private void remove(String key) {
		if (this.items.remove(key) != null) {
			this.history.add(new Change(this.revision, key, null));
		}
	}

	private static Map<String, Object> json(Item item) {
		return Json.of("key", item.key(), "value", Base64.getEncoder().encodeToString(item.value()), "revision",
				item.revision(), "created", item.created(), "lease", item.lease());
	}

	private synchronized void endLease(long lease) {
		if (this.leases.remove(lease) != null) {
			this.revision++;
			List<String> keys = this.items.values()
				.stream()
				.filter((item) -> item.lease() == lease)
				.map(Item::key)
				.toList();
			keys.forEach(this::remove);
			notifyAll();
		}
	}

	private void expireLeases() throws InterruptedException {
		while (true) {
			Thread.sleep(50);
			List<Long> ended;
			synchronized (this) {
				ended = this.leases.entrySet()
					.stream()
					.filter((entry) -> System.nanoTime() - entry.getValue().untilNanos() >= 0)
					.map(Map.Entry::getKey)
					.toList();
			}
			ended.forEach(this::endLease);
		}
	}

	/**
	 * Writes for the operator or a replica.
	 * @return the revision, which acknowledges the write; 0 while the store is away
	 */
	synchronized long put(String key, Object value) {
		if (this.away) {
			return 0;
		}
		this.revision++;
		store(key, Json.write(value).getBytes(StandardCharsets.UTF_8), 0);
		notifyAll();
		return this.revision;
	}

	/** Returns how many watches of the configuration have begun. */
	synchronized long configurationWatches() {
		return this.configurationWatches;
	}

	synchronized boolean isAway() {
		return this.away;
	}

	synchronized boolean contains(String key) {
		return this.items.containsKey(key);
	}

	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.items), new ArrayList<>(this.history), new LinkedHashMap<>(this.leases),
				this.revision);
	}

	private static void reset(Socket connection) throws IOException {
		try {
			connection.setSoLinger(true, 0);
		}
		catch (SocketException ex) {
			// The router has closed it meanwhile.
		}
		connection.close();
	}

	/** The store goes away: all its connections are reset, new ones too. */
	synchronized void leaveWithReset() throws IOException {
		this.resets = true;
		leave();
		resetSilenced();
	}

	/** The store goes away: nothing is answered any more, on any connection. */
	synchronized void leave() {
		this.away = true;
		this.silenced.addAll(this.open);
		this.record.line("store: away at revision " + this.revision);
		notifyAll();
	}

	/** The store comes back from a copy. Connections from before stay silent. */
	synchronized void comeBackFrom(Copy copy) {
		this.items = copy.items();
		this.history = copy.history();
		this.leases = copy.leases();
		long lost = this.revision;
		this.revision = copy.revision();
		this.era++;
		this.away = false;
		notifyAll();
		this.record.line("store: back from a copy, revision " + lost + " -> " + this.revision + ", Store-Era "
				+ this.era);
	}

	private void resetSilenced() throws IOException {
		for (Socket connection : List.copyOf(this.silenced)) {
			reset(connection);
		}
	}

}
