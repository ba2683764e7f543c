package io.balsamlane.standin.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.balsamlane.standin.AbstractStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * In-memory key-value store with compare-and-swap, leases and long-polling watches.
 * <p>
 * Versions come from a single, strictly increasing counter. Faults: unavailable, delayed
 * requests, and writes whose response is lost after they have taken effect.
 */
public class PlatformStoreStandIn extends AbstractStandIn {

	private static final int MAX_VALUE_BYTES = 1 << 20;

	private static final String KV_PREFIX = "/v1/kv/";

	private static final String WATCH_PREFIX = "/v1/watch/";

	private static final String LIST_PATH = "/v1/list";

	private static final String LEASES_PREFIX = "/v1/leases";

	private final TreeMap<String, Entry> entries = new TreeMap<>();

	private final Map<String, List<Watch>> watches = new HashMap<>();

	private final Map<Long, Long> leaseTtlMillis = new HashMap<>();

	private final Map<Long, Long> leaseTimers = new HashMap<>();

	private long nextVersion = 1;

	private long nextLease = 1;

	private long reads;

	private long writes;

	private boolean down;

	private long delayMillis;

	private int writeResponsesToDrop;

	/**
	 * Create an empty store.
	 * @param vertx the Vert.x instance to use
	 * @param port the port; 0 for an ephemeral port
	 */
	public PlatformStoreStandIn(Vertx vertx, int port) {
		super(vertx, port);
	}

	@Override
	protected void handle(HttpServerRequest request) {
		if (this.down) {
			request.connection().close();
			return;
		}
		request.body().onSuccess((body) -> {
			if (this.delayMillis > 0) {
				vertx().setTimer(this.delayMillis, (id) -> dispatch(request, body));
			}
			else {
				dispatch(request, body);
			}
		});
	}

	private void dispatch(HttpServerRequest request, Buffer body) {
		String path = request.path();
		if (path.startsWith(WATCH_PREFIX)) {
			watch(request, path.substring(WATCH_PREFIX.length()));
		}
		else if (path.equals(LIST_PATH)) {
			list(request);
		}
		else if (path.startsWith(LEASES_PREFIX)) {
			lease(request, path.substring(LEASES_PREFIX.length()), body);
		}
		else if (!path.startsWith(KV_PREFIX)) {
			sendError(request.response(), 404, "unknown-path");
		}
		else if (request.method() == HttpMethod.GET) {
			this.reads++;
			sendEntry(request.response(), this.entries.get(path.substring(KV_PREFIX.length())));
		}
		else {
			write(request, path.substring(KV_PREFIX.length()), body);
		}
	}

	private void write(HttpServerRequest request, String key, Buffer body) {
		this.writes++;
		HttpServerResponse response = request.response();
		if (body.length() > MAX_VALUE_BYTES) {
			sendError(response, 413, "value-too-large");
			return;
		}
		Entry current = this.entries.get(key);
		long currentVersion = (current != null) ? current.version() : 0;
		String expected = request.getHeader("If-Version");
		if (expected != null && Long.parseLong(expected) != currentVersion) {
			response.putHeader("X-Version", Long.toString(currentVersion));
			sendError(response, 412, "version-mismatch");
			return;
		}
		String lease = request.getHeader("X-Lease");
		if (lease != null && !this.leaseTtlMillis.containsKey(Long.parseLong(lease))) {
			sendError(response, 409, "no-such-lease");
			return;
		}
		long version = this.nextVersion++;
		if (request.method() == HttpMethod.DELETE) {
			this.entries.remove(key);
		}
		else {
			this.entries.put(key, new Entry(body, version, (lease != null) ? Long.parseLong(lease) : 0));
		}
		notifyWatches(key);
		if (this.writeResponsesToDrop > 0) {
			this.writeResponsesToDrop--;
			request.connection().close();
			return;
		}
		response.putHeader("X-Version", Long.toString(version));
		sendJson(response, 200, "{}");
	}

	private void watch(HttpServerRequest request, String key) {
		this.reads++;
		long after = Long.parseLong(request.getParam("after", "0"));
		long waitMillis = Long.parseLong(request.getParam("wait", "1000"));
		Entry entry = this.entries.get(key);
		if (entry != null && entry.version() > after) {
			sendEntry(request.response(), entry);
			return;
		}
		Watch watch = new Watch(request.response());
		List<Watch> waiting = this.watches.computeIfAbsent(key, (k) -> new ArrayList<>());
		waiting.add(watch);
		vertx().setTimer(Math.max(1, waitMillis), (id) -> {
			if (waiting.remove(watch) && !watch.response().closed()) {
				watch.response().setStatusCode(204).end();
			}
		});
	}

	private void list(HttpServerRequest request) {
		this.reads++;
		String prefix = request.getParam("prefix", "");
		JsonArray found = new JsonArray();
		this.entries.tailMap(prefix)
			.entrySet()
			.stream()
			.takeWhile((entry) -> entry.getKey().startsWith(prefix))
			.forEach((entry) -> found
				.add(new JsonObject().put("key", entry.getKey()).put("version", entry.getValue().version())));
		sendJson(request.response(), 200, found.encode());
	}

	private void lease(HttpServerRequest request, String rest, Buffer body) {
		this.writes++;
		if (rest.isEmpty()) {
			long id = this.nextLease++;
			this.leaseTtlMillis.put(id, body.toJsonObject().getLong("ttlMillis"));
			renew(id);
			sendJson(request.response(), 200, new JsonObject().put("lease", id).encode());
			return;
		}
		long id = Long.parseLong(rest.substring(1).replace("/renew", ""));
		if (!this.leaseTtlMillis.containsKey(id)) {
			sendError(request.response(), 404, "no-such-lease");
		}
		else if (request.method() == HttpMethod.DELETE) {
			expire(id);
			sendJson(request.response(), 200, "{}");
		}
		else {
			renew(id);
			sendJson(request.response(), 200, "{}");
		}
	}

	private void renew(long id) {
		Long timer = this.leaseTimers.remove(id);
		if (timer != null) {
			vertx().cancelTimer(timer);
		}
		this.leaseTimers.put(id, vertx().setTimer(this.leaseTtlMillis.get(id), (fired) -> expire(id)));
	}

	private void expire(long id) {
		this.leaseTtlMillis.remove(id);
		Long timer = this.leaseTimers.remove(id);
		if (timer != null) {
			vertx().cancelTimer(timer);
		}
		this.entries.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().lease() == id)
			.map(Map.Entry::getKey)
			.toList()
			.forEach((key) -> {
				this.entries.remove(key);
				this.nextVersion++;
				notifyWatches(key);
			});
	}

	private void notifyWatches(String key) {
		List<Watch> waiting = this.watches.remove(key);
		if (waiting == null) {
			return;
		}
		List<Watch> notified = List.copyOf(waiting);
		waiting.clear();
		notified.forEach((watch) -> sendEntry(watch.response(), this.entries.get(key)));
	}

	private static void sendEntry(HttpServerResponse response, Entry entry) {
		if (response.ended() || response.closed()) {
			return;
		}
		if (entry == null) {
			sendError(response, 404, "no-such-key");
			return;
		}
		response.putHeader("X-Version", Long.toString(entry.version())).end(entry.value());
	}

	@Override
	protected void control(HttpServerRequest request) {
		if (request.method() == HttpMethod.GET) {
			sendJson(request.response(), 200,
					new JsonObject().put("reads", this.reads)
						.put("writes", this.writes)
						.put("keys", this.entries.size())
						.encode());
			return;
		}
		request.body().onSuccess((body) -> {
			JsonObject faults = body.toJsonObject();
			this.down = faults.getBoolean("down", this.down);
			this.delayMillis = faults.getLong("delayMillis", this.delayMillis);
			this.writeResponsesToDrop = faults.getInteger("loseWriteAnswers", this.writeResponsesToDrop);
			sendJson(request.response(), 200, "{}");
		});
	}

	private record Entry(Buffer value, long version, long lease) {
	}

	private record Watch(HttpServerResponse response) {
	}

}
