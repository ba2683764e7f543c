package io.balsamlane.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

import io.balsamlane.standin.AbstractStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Stand-in for a model engine that runs prefills, exports and imports KV cache, and
 * decodes with continuous batching.
 * <p>
 * Closing the connection does not end a sequence; it ends when its length is reached,
 * when it is cancelled or when the process exits. All methods run on one event loop.
 */
public class EngineStandIn extends AbstractStandIn {

	private static final String KV_PREFIX = "/v1/kv/";

	private static final int MAX_LEDGER_ENTRIES = 200_000;

	private static final double MICROS_PER_MILLI = 1000.0;

	/** Maximum number of concurrent KV imports from one prefill engine. */
	private static final int MAX_CONNECTIONS_PER_ENGINE = 256;

	private static final String ENGINE_HEADER = "X-Engine";

	private final String name;

	private final EngineCapacity capacity;

	private final EngineFaults faults = new EngineFaults();

	private final HttpClient client;

	private final EngineBehaviour behaviour;

	private final PrefixCache prefixCache;

	private final PrefillQueue prefills;

	private final EngineOrderHandler orders;

	private final UniformRandomProvider random;

	private final Map<String, KvEntry> kvEntries = new LinkedHashMap<>();

	private final Map<String, Sequence> sequences = new LinkedHashMap<>();

	private final JsonArray ledger = new JsonArray();

	private JsonObject reportedLoad = new JsonObject();

	private int usedPieces;

	private int peakPieces;

	private long linkBusyUntilNanos = System.nanoTime();

	private long nextStepNanos;

	private boolean stepping;

	private long exportedBytes;

	private long wastedPrefillTokens;

	/** Bytes sent to and received from hosts with a configured network delay. */
	private long farBytes;

	/**
	 * Create an engine with the default behaviour.
	 * @param vertx the Vert.x instance to use
	 * @param port the port; 0 for an ephemeral port
	 * @param name name of this engine
	 * @param capacity the capacity model
	 */
	public EngineStandIn(Vertx vertx, int port, String name, EngineCapacity capacity) {
		this(vertx, port, name, capacity, EngineBehaviour.ofDefaults());
	}

	/**
	 * Create an engine with the given network delays, report losses and fencing check.
	 * @param vertx the Vert.x instance to use
	 * @param port the port; 0 for an ephemeral port
	 * @param name name of this engine
	 * @param capacity the capacity model
	 * @param behaviour the fencing, latency and report loss settings
	 */
	public EngineStandIn(Vertx vertx, int port, String name, EngineCapacity capacity, EngineBehaviour behaviour) {
		super(vertx, port);
		this.name = name;
		this.capacity = capacity;
		this.behaviour = behaviour;
		this.client = vertx.createHttpClient(new HttpClientOptions(),
				new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENGINE));
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(behaviour.seed());
		this.prefixCache = new PrefixCache(capacity.cacheBlocks(), capacity.reportLagMillis(), this::dropsReport);
		this.prefills = new PrefillQueue(vertx);
		this.orders = EngineOrderHandler.create(vertx, behaviour.checksFencing(), behaviour.orderMillis());
		vertx.setPeriodic(reportMillis(), (id) -> publishLoad());
	}

	private long reportMillis() {
		// Reports are sampled every half lag and published half a lag later, so their age
		// is between half the lag and the full lag.
		return Math.max(1, this.capacity.reportLagMillis() / 2);
	}

	private void publishLoad() {
		if (!dropsReport()) {
			JsonObject report = load();
			vertx().setTimer(reportMillis(), (id) -> this.reportedLoad = report);
		}
	}

	private boolean dropsReport() {
		return this.behaviour.reportGapShare() > 0 && this.random.nextDouble() < this.behaviour.reportGapShare();
	}

	@Override
	protected void handle(HttpServerRequest request) {
		if (this.faults.frozen() || this.orders.handle(request)) {
			return;
		}
		String path = request.path();
		if (request.method() == HttpMethod.GET) {
			get(request, path);
			return;
		}
		request.body().onSuccess((body) -> {
			JsonObject order = body.toJsonObject();
			int oneWayMillis = this.behaviour.delayToRouter(order.getString("attempt", ""));
			countDelayedBytes(oneWayMillis, body.length());
			afterMillis(oneWayMillis, () -> post(request.response(), path, order, oneWayMillis));
		});
	}

	private void countDelayedBytes(int oneWayMillis, long bytes) {
		if (oneWayMillis > 0) {
			this.farBytes += bytes;
		}
	}

	private void post(HttpServerResponse response, String path, JsonObject order, int oneWayMillis) {
		switch (path) {
			case "/v1/prefill" -> prefill(response, order, oneWayMillis);
			case "/v1/decode" -> decode(response, order, oneWayMillis);
			case "/v1/cancel" -> cancel(response, order.getString("attempt"));
			default -> sendError(response, 404, "unknown-path");
		}
	}

	private void get(HttpServerRequest request, String path) {
		HttpServerResponse response = request.response();
		switch (path) {
			case "/v1/load" -> sendJson(response, 200, this.reportedLoad.encode());
			case "/v1/running" -> sendJson(response, 200, running().encode());
			case "/v1/cache-events" -> sendJson(response, 200,
					this.prefixCache.eventsAfter(Long.parseLong(request.getParam("after", "0"))).encode());
			default -> {
				if (path.startsWith(KV_PREFIX)) {
					String engine = request.getHeader(ENGINE_HEADER);
					export(response, path.substring(KV_PREFIX.length()), (engine != null) ? engine : "");
				}
				else {
					sendError(response, 404, "unknown-path");
				}
			}
		}
	}

	private void prefill(HttpServerResponse response, JsonObject order, int oneWayMillis) {
		String attempt = order.getString("attempt");
		String prompt = order.getString("prompt");
		if (this.faults.leaving()) {
			sendError(response, 503, "leaving");
			return;
		}
		if (this.faults.crashesOn(prompt)) {
			crash();
			return;
		}
		Prompt parsed = Prompt.parse(prompt);
		int pieces = this.capacity.piecesFor(parsed.tokens());
		if (this.usedPieces + pieces > this.capacity.memoryPieces()) {
			sendError(response, 503, "no-memory");
			return;
		}
		allocate(pieces);
		int reused = this.prefixCache.reuse(parsed.blockHashes()) * EngineCapacity.BLOCK_TOKENS;
		int tokens = parsed.tokens() - reused;
		double nanos = 1e9 * tokens / this.capacity.prefillTokensPerSecond() * this.faults.slowFactor();
		KvEntry entry = new KvEntry(attempt, parsed, tokens, pieces, System.nanoTime());
		this.kvEntries.put(attempt, entry);
		entry.start(this.prefills.add(order.getInteger("priority", 0), tokens, (long) nanos, () -> {
			entry.setReady();
			record("prefill", attempt, tokens);
			vertx().setTimer(this.capacity.evictionMillis(), (id) -> evict(entry));
			afterMillis(oneWayMillis,
					() -> sendJson(response, 200,
							new JsonObject().put("kv", attempt)
								.put("tokens", parsed.tokens())
								.put("reusedTokens", reused)
								.encode()));
		}), () -> sendError(response, 409, "cancelled"));
	}

	private void evict(KvEntry entry) {
		if (!entry.exporting() && this.kvEntries.remove(entry.attempt(), entry)) {
			release(entry.pieces());
			this.wastedPrefillTokens += entry.computedTokens();
			record("evicted", entry.attempt(), entry.computedTokens());
		}
	}

	private void export(HttpServerResponse response, String handle, String engine) {
		KvEntry entry = this.kvEntries.get(handle);
		if (entry == null || !entry.ready()) {
			sendError(response, 404, "kv-gone");
			return;
		}
		if (this.faults.stallsTransfers()) {
			return;
		}
		entry.setExporting();
		long bytes = (long) entry.prompt().tokens() * this.capacity.kvBytesPerToken();
		long nowNanos = System.nanoTime();
		this.linkBusyUntilNanos = Math.max(nowNanos, this.linkBusyUntilNanos)
				+ (long) (1e9 * bytes / this.capacity.linkBytesPerSecond());
		long roundTripNanos = 2_000_000L * this.behaviour.delayToEngine(engine);
		afterNanos(vertx(), this.linkBusyUntilNanos - nowNanos + roundTripNanos, () -> {
			this.exportedBytes += bytes;
			countDelayedBytes(this.behaviour.delayToEngine(engine), bytes);
			if (this.kvEntries.remove(handle, entry)) {
				release(entry.pieces());
			}
			sendJson(response, 200, entry.prompt().toJson().put("bytes", bytes).encode());
		});
	}

	private void decode(HttpServerResponse response, JsonObject order, int oneWayMillis) {
		if (this.faults.leaving()) {
			sendError(response, 503, "leaving");
			return;
		}
		String attempt = order.getString("attempt");
		int promptTokens = order.getInteger("promptTokens");
		int pieces = this.capacity.piecesFor(promptTokens + order.getInteger("maxTokens"));
		if (this.usedPieces + pieces > this.capacity.memoryPieces()) {
			sendError(response, 503, "no-memory");
			return;
		}
		allocate(pieces);
		Sequence sequence = new Sequence(attempt, pieces, order.getInteger("offset", 0), order.getInteger("maxTokens"),
				new DelayedStream(vertx(), response, oneWayMillis, (bytes) -> countDelayedBytes(oneWayMillis, bytes)));
		this.sequences.put(attempt, sequence);
		response.setChunked(true);
		String[] source = order.getString("kvFrom").split(":");
		this.client.request(HttpMethod.GET, Integer.parseInt(source[1]), source[0], KV_PREFIX + order.getString("kv"))
			.compose((request) -> request.putHeader(ENGINE_HEADER, this.name).send())
			.compose((answer) -> answer.body().map((body) -> imported(answer, body)))
			.onComplete((imported) -> {
				if (this.sequences.get(attempt) != sequence) {
					return;
				}
				if (imported.failed() || imported.result() == null) {
					end(sequence);
					sendError(response, 409, "kv-gone");
				}
				else {
					begin(sequence, imported.result());
				}
			});
	}

	private static Prompt imported(HttpClientResponse answer, Buffer body) {
		return (answer.statusCode() == 200) ? Prompt.fromJson(body.toJsonObject()) : null;
	}

	private void begin(Sequence sequence, Prompt prompt) {
		if (this.faults.crashesOn(prompt.marker())) {
			crash();
			return;
		}
		record("decode", sequence.attempt(), prompt.tokens());
		sequence.begin(prompt);
		if (!this.stepping) {
			this.stepping = true;
			this.nextStepNanos = System.nanoTime();
			scheduleStep();
		}
	}

	private void scheduleStep() {
		long active = this.sequences.values().stream().filter(Sequence::begun).count();
		if (active == 0) {
			this.stepping = false;
			return;
		}
		double micros = (this.capacity.stepMicros() + active * this.capacity.stepPerSequenceMicros())
				* this.faults.slowFactor();
		this.nextStepNanos += (long) (micros * MICROS_PER_MILLI);
		afterNanos(vertx(), this.nextStepNanos - System.nanoTime(), this::step);
	}

	private void step() {
		if (!this.faults.frozen()) {
			this.sequences.values().stream().filter(Sequence::begun).toList().forEach((sequence) -> {
				if (!sequence.emit(this.faults.mutesStreams())) {
					end(sequence);
					record("finished", sequence.attempt(), sequence.generated());
				}
			});
		}
		scheduleStep();
	}

	private void cancel(HttpServerResponse response, String attempt) {
		int before = this.usedPieces;
		Sequence sequence = this.sequences.get(attempt);
		if (sequence != null) {
			end(sequence);
			sequence.abort();
			record("cancelled", attempt, sequence.generated());
		}
		KvEntry entry = this.kvEntries.remove(attempt);
		if (entry != null) {
			release(entry.pieces());
			int wasted = entry.ready() ? entry.computedTokens() : this.prefills.cancel(entry.job());
			this.wastedPrefillTokens += wasted;
			record("prefill-cancelled", attempt, wasted);
			entry.cancelled();
		}
		sendJson(response, 200, new JsonObject().put("releasedPieces", before - this.usedPieces).encode());
	}

	private void end(Sequence sequence) {
		if (this.sequences.remove(sequence.attempt(), sequence)) {
			release(sequence.pieces());
		}
	}

	private void allocate(int pieces) {
		this.usedPieces += pieces;
		this.peakPieces = Math.max(this.peakPieces, this.usedPieces);
	}

	private void release(int pieces) {
		this.usedPieces -= pieces;
	}

	private JsonArray running() {
		JsonArray running = new JsonArray();
		long nowNanos = System.nanoTime();
		this.kvEntries.values().forEach((entry) -> running.add(entry.toJson(nowNanos)));
		this.sequences.values().forEach((sequence) -> running.add(sequence.toJson(nowNanos)));
		return running;
	}

	private JsonObject load() {
		return new JsonObject().put("engine", this.name)
			.put("memoryPieces", this.capacity.memoryPieces())
			.put("usedPieces", this.usedPieces)
			.put("peakPieces", this.peakPieces)
			.put("sequences", this.sequences.size())
			.put("exportedBytes", this.exportedBytes)
			.put("prefillTokensPerSecond", this.capacity.prefillTokensPerSecond())
			.put("kvBytesPerToken", this.capacity.kvBytesPerToken())
			.put("linkBytesPerSecond", this.capacity.linkBytesPerSecond())
			.put("prefillTokens", this.prefills.computedTokens())
			.put("wastedPrefillTokens", this.wastedPrefillTokens)
			.put("prefillQueueMillis", this.prefills.backlogNanos() / 1_000_000);
	}

	private void record(String what, String attempt, int tokens) {
		if (this.ledger.size() < MAX_LEDGER_ENTRIES) {
			this.ledger.add(new JsonObject().put("what", what).put("attempt", attempt).put("tokens", tokens));
		}
	}

	private void crash() {
		Runtime.getRuntime().halt(137);
	}

	private void afterMillis(int millis, Runnable action) {
		if (millis <= 0) {
			action.run();
		}
		else {
			vertx().setTimer(millis, (id) -> action.run());
		}
	}

	static void afterNanos(Vertx vertx, long nanos, Runnable action) {
		long millis = Math.round(nanos / 1e6);
		if (millis <= 0) {
			vertx.runOnContext((ignored) -> action.run());
		}
		else {
			vertx.setTimer(millis, (id) -> action.run());
		}
	}

	@Override
	protected void control(HttpServerRequest request) {
		if (this.orders.control(request)) {
			return;
		}
		if (request.method() == HttpMethod.GET) {
			JsonObject state = load().put("running", running()).put("farBytes", this.farBytes);
			if (request.path().endsWith("/ledger")) {
				state.put("ledger", this.ledger);
			}
			sendJson(request.response(), 200, state.encode());
			return;
		}
		request.body().onSuccess((body) -> {
			this.faults.update(body.toJsonObject());
			sendJson(request.response(), 200, "{}");
		});
	}

}
