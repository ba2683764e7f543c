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
 * Model engine that prefills, exports and imports KV cache, and decodes with continuous
 * batching.
 * <p>
 * A sequence goes on when only its connection closes; it ends by its length, by a cancel
 * or by the end of the process. All methods run on one event loop.
 */
public class EngineStandIn extends AbstractStandIn {

	private static final String KV_PREFIX = "/v1/kv/";

	private static final int MAX_LEDGER_ENTRIES = 200_000;

	private static final double MICROS_PER_MILLI = 1000.0;

	/** Concurrent KV imports from one prefill engine. */
	private static final int MAX_CONNECTIONS_PER_ENGINE = 256;

	private static final String ENGINE_HEADER = "X-Engine";

	private final String name;

	private final EngineCapacity capacity;

	private final EngineFaults faults = new EngineFaults();

	private final HttpClient client;

	private final EngineBehaviour behaviour;

	private final PrefixCache prefixCache;

	private final PrefillQueue prefills;

	private final OrderBook orders;

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

	/** Bytes to and from hosts to which there is a delay. */
	private long farBytes;

	/**
	 * Creates an engine.
	 * @param vertx the event loops to use
	 * @param port the port; 0 lets the kernel choose
	 * @param name name of this engine
	 * @param capacity the capacity model
	 */
	public EngineStandIn(Vertx vertx, int port, String name, EngineCapacity capacity) {
		this(vertx, port, name, capacity, EngineBehaviour.ofDefaults());
	}

	/**
	 * Creates an engine with delays, losses and a fencing rule.
	 * @param vertx the event loops to use
	 * @param port the port; 0 lets the kernel choose
	 * @param name name of this engine
	 * @param capacity the capacity model
	 * @param behaviour the behaviour towards its surroundings
	 */
	public EngineStandIn(Vertx vertx, int port, String name, EngineCapacity capacity, EngineBehaviour behaviour) {
		super(vertx, port);
		this.name = name;
		this.capacity = capacity;
		this.behaviour = behaviour;
		this.client = vertx.createHttpClient(new HttpClientOptions(),
				new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENGINE));
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(behaviour.seed());
		this.prefixCache = new PrefixCache(capacity.cacheBlocks(), capacity.reportLagMillis(), this::lost);
		this.prefills = new PrefillQueue(vertx);
		this.orders = new OrderBook(behaviour.checksFencing());
		vertx.setPeriodic(reportMillis(), (id) -> publishLoad());
	}

	private long reportMillis() {
		// Reports are taken every half of the lag and delayed by the other half, so their
		// age lies between half of the lag and the lag.
		return Math.max(1, this.capacity.reportLagMillis() / 2);
	}

	private void publishLoad() {
		if (!lost()) {
			JsonObject report = load();
			vertx().setTimer(reportMillis(), (id) -> this.reportedLoad = report);
		}
	}

	private boolean lost() {
		return this.behaviour.reportGapShare() > 0 && this.random.nextDouble() < this.behaviour.reportGapShare();
	}

	@Override
	protected void handle(HttpServerRequest request) {
		if (this.faults.frozen()) {
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
			countFar(oneWayMillis, body.length());
			afterMillis(oneWayMillis, () -> post(request.response(), path, order, oneWayMillis));
		});
	}

	private void countFar(int oneWayMillis, long bytes) {
		if (oneWayMillis > 0) {
			this.farBytes += bytes;
		}
	}

	private void post(HttpServerResponse response, String path, JsonObject order, int oneWayMillis) {
		switch (path) {
			case "/v1/prefill" -> prefill(response, order, oneWayMillis);
			case "/v1/decode" -> decode(response, order, oneWayMillis);
			case "/v1/cancel" -> cancel(response, order.getString("attempt"));
			case "/v1/orders" -> order(response, order);
			default -> sendError(response, 404, "unknown-path");
		}
	}

	private void order(HttpServerResponse response, JsonObject order) {
		if (!this.orders.accept(order)) {
			sendError(response, 409, "stale-fencing");
			return;
		}
		afterMillis(this.behaviour.orderMillis(), () -> {
			this.orders.carryOut(order);
			sendJson(response, 200, "{}");
		});
	}

	private void get(HttpServerRequest request, String path) {
		HttpServerResponse response = request.response();
		switch (path) {
			case "/v1/load" -> sendJson(response, 200, this.reportedLoad.encode());
			case "/v1/orders" -> sendJson(response, 200, this.orders.state().encode());
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
		take(pieces);
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
			countFar(this.behaviour.delayToEngine(engine), bytes);
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
		take(pieces);
		Sequence sequence = new Sequence(attempt, pieces, order.getInteger("offset", 0), order.getInteger("maxTokens"),
				new DelayedStream(vertx(), response, oneWayMillis, (bytes) -> countFar(oneWayMillis, bytes)));
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

	private void take(int pieces) {
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
		if (request.method() == HttpMethod.GET) {
			JsonObject state = load().put("running", running()).put("farBytes", this.farBytes);
			if (request.path().endsWith("/ledger")) {
				state.put("ledger", this.ledger);
			}
			else if (request.path().endsWith("/orders")) {
				state.put("orders", this.orders.log());
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
