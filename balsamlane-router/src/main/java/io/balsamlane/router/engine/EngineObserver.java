package io.balsamlane.router.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.scheduling.CacheEvent;
import io.balsamlane.core.scheduling.EngineDescriptor;
import io.balsamlane.core.scheduling.EngineLoad;
import io.balsamlane.router.http.BoundedHttpClient;
import io.balsamlane.router.http.RequestIdClients;
import io.balsamlane.schema.EngineRole;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Polls load reports and cache events of the engines whose scheduler runs on this router.
 * An engine that does not answer is skipped until the next poll, and one that has not
 * answered the previous poll yet is not polled again, so that its answers are applied in
 * order.
 */
public final class EngineObserver {

	private static final int CALL_TIMEOUT_MILLIS = 1000;

	private final Vertx vertx;

	/** Maximum size of a report or of a list of cache events. */
	private static final int MAX_RESPONSE_BYTES = 1 << 20;

	private final BoundedHttpClient client;

	private final Supplier<List<EngineDescriptor>> engines;

	private final Function<String, Optional<Endpoint>> endpoints;

	private final BiConsumer<EngineDescriptor, EngineLoad> loads;

	private final BiConsumer<EngineDescriptor, List<CacheEvent>> caches;

	private final Set<String> pollsInProgress = ConcurrentHashMap.newKeySet();

	private Map<String, Long> lastSequences = new HashMap<>();

	private long timer = -1;

	private EngineObserver(Vertx vertx, Supplier<List<EngineDescriptor>> engines,
			Function<String, Optional<Endpoint>> endpoints, BiConsumer<EngineDescriptor, EngineLoad> loads,
			BiConsumer<EngineDescriptor, List<CacheEvent>> caches) {
		this.vertx = vertx;
		this.client = BoundedHttpClient.of(RequestIdClients.create(vertx), MAX_RESPONSE_BYTES);
		this.engines = engines;
		this.endpoints = endpoints;
		this.loads = loads;
		this.caches = caches;
	}

	/**
	 * Create an observer.
	 * @param vertx the event loops to use
	 * @param engines supplies the engines to poll
	 * @param endpoints resolves the name of an engine to its address
	 * @param loads receives load reports
	 * @param caches receives changes of the prefix caches, oldest first
	 * @return the observer
	 */
	public static EngineObserver create(Vertx vertx, Supplier<List<EngineDescriptor>> engines,
			Function<String, Optional<Endpoint>> endpoints, BiConsumer<EngineDescriptor, EngineLoad> loads,
			BiConsumer<EngineDescriptor, List<CacheEvent>> caches) {
		return new EngineObserver(vertx, engines, endpoints, loads, caches);
	}

	/**
	 * Start polling.
	 * @param intervalMillis interval between two polls of an engine, in milliseconds
	 */
	public void start(long intervalMillis) {
		this.timer = this.vertx.setPeriodic(intervalMillis, (id) -> pollAll());
	}

	/**
	 * Stop polling.
	 */
	public void stop() {
		this.vertx.cancelTimer(this.timer);
	}

	private void pollAll() {
		List<EngineDescriptor> present = this.engines.get();
		Map<String, Long> current = new HashMap<>();
		present.forEach((engine) -> this.endpoints.apply(engine.name()).ifPresent((endpoint) -> {
			current.put(engine.name(), this.lastSequences.getOrDefault(engine.name(), 0L));
			poll(engine, endpoint, "/v1/load", "", (body) -> this.loads.accept(engine, toLoad(engine, body)));
			if (engine.role() == EngineRole.PREFILL) {
				poll(engine, endpoint, "/v1/cache-events", "?after=" + current.get(engine.name()),
						(body) -> readEvents(engine, body));
			}
		}));
		this.lastSequences = current;
	}

	private void poll(EngineDescriptor engine, Endpoint endpoint, String path, String query, Consumer<Buffer> reader) {
		String key = engine.name() + path;
		if (!this.pollsInProgress.add(key)) {
			return;
		}
		get(endpoint, path + query).onComplete((result) -> {
			try {
				if (result.succeeded()) {
					reader.accept(result.result());
				}
			}
			finally {
				this.pollsInProgress.remove(key);
			}
		});
	}

	private Future<Buffer> get(Endpoint endpoint, String uri) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET)
			.setHost(endpoint.address())
			.setPort(endpoint.port())
			.setURI(uri);
		return this.client.call(options, Buffer.buffer(), CALL_TIMEOUT_MILLIS)
			.compose((response) -> (response.status() == 200) ? Future.succeededFuture(response.body())
					: Future.failedFuture("status " + response.status()));
	}

	private static EngineLoad toLoad(EngineDescriptor engine, Buffer body) {
		JsonObject json = body.toJsonObject();
		return new EngineLoad(engine.name(), json.getInteger("memoryPieces", 0), json.getInteger("usedPieces", 0),
				json.getInteger("prefillTokensPerSecond", 0), json.getInteger("kvBytesPerToken", 0),
				json.getLong("linkBytesPerSecond", 0L));
	}

	private void readEvents(EngineDescriptor engine, Buffer body) {
		List<CacheEvent> events = new JsonArray(body).stream()
			.map((item) -> (JsonObject) item)
			.map((json) -> new CacheEvent(json.getLong("sequence"), "stored".equals(json.getString("what")),
					json.getLong("block")))
			.toList();
		if (!events.isEmpty()) {
			this.lastSequences.put(engine.name(), events.get(events.size() - 1).sequence());
			this.caches.accept(engine, events);
		}
	}

}
