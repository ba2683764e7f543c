package io.balsamlane.router.engine;

import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.http.BoundedHttpClient;
import io.balsamlane.router.http.ReceivedResponse;
import io.balsamlane.schema.EngineSettings;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Client for engines that accept JSON requests and stream tokens as newline-delimited
 * JSON.
 */
public final class HttpEngineClient implements EngineClient {

	private static final int CONTROL_TIMEOUT_MILLIS = 1000;

	/** Maximum size of a response that is not a stream, such as a list of attempts. */
	static final int MAX_RESPONSE_BYTES = 1 << 20;

	private final EngineConnectionPools pools;

	private final EngineSettings settings;

	private HttpEngineClient(Vertx vertx, EngineSettings settings) {
		this.pools = new EngineConnectionPools(vertx, settings.getConnectTimeoutMillis());
		this.settings = settings;
	}

	/**
	 * Create a client.
	 * @param vertx the event loops to use
	 * @param settings timeouts of engine calls
	 * @return the client
	 */
	public static HttpEngineClient create(Vertx vertx, EngineSettings settings) {
		return new HttpEngineClient(vertx, settings);
	}

	@Override
	public Runnable prefill(Endpoint engine, PrefillCall call, Consumer<PrefillResult> listener) {
		JsonObject body = new JsonObject().put("attempt", call.attempt())
			.put("model", call.model())
			.put("prompt", call.prompt())
			.put("priority", call.priority());
		PrefillExchange exchange = new PrefillExchange(listener);
		this.pools.client(engine)
			.request(options(engine, HttpMethod.POST, "/v1/prefill", call.traceparent()))
			.onSuccess((request) -> exchange.open(request, body.toBuffer()))
			.onFailure((cause) -> exchange.end(new PrefillResult.Unreachable(String.valueOf(cause.getMessage()))));
		return exchange::close;
	}

	@Override
	public Runnable decode(Endpoint engine, DecodeCall call, Consumer<DecodeEvent> listener) {
		JsonObject body = new JsonObject().put("attempt", call.attempt())
			.put("model", call.model())
			.put("kvFrom", call.kvSource().toString())
			.put("kv", call.kvHandle())
			.put("promptTokens", call.promptTokens())
			.put("maxTokens", call.maxTokens())
			.put("offset", call.offset())
			.put("priority", call.priority());
		DecodeStream stream = new DecodeStream(listener);
		this.pools.client(engine)
			.request(options(engine, HttpMethod.POST, "/v1/decode", call.traceparent()))
			.onSuccess((request) -> stream.open(request, body.toBuffer()))
			.onFailure((cause) -> stream.end(new DecodeEvent.Unreachable(String.valueOf(cause.getMessage()))));
		return stream::close;
	}

	@Override
	public Future<CancelResult> cancel(Endpoint engine, String attempt) {
		return control(engine, HttpMethod.POST, "/v1/cancel", new JsonObject().put("attempt", attempt).toBuffer())
			.map(HttpEngineClient::toCancelResult)
			.otherwise(CancelResult.UNCONFIRMED);
	}

	private Future<ReceivedResponse> control(Endpoint engine, HttpMethod method, String uri, Buffer content) {
		return bounded(this.pools.client(engine)).call(options(engine, method, uri, ""), content,
				CONTROL_TIMEOUT_MILLIS);
	}

	private static BoundedHttpClient bounded(HttpClient client) {
		return BoundedHttpClient.of(client, MAX_RESPONSE_BYTES);
	}

	private static CancelResult toCancelResult(ReceivedResponse response) {
		if (response.status() != 200) {
			return CancelResult.UNCONFIRMED;
		}
		return (response.body().toJsonObject().getInteger("releasedPieces", 0) > 0) ? CancelResult.RELEASED
				: CancelResult.NOTHING_HELD;
	}

	@Override
	public Future<Optional<List<String>>> runningAttempts(Endpoint engine) {
		return control(engine, HttpMethod.GET, "/v1/running", Buffer.buffer())
			.map((response) -> Optional.of(response.body()
				.toJsonArray()
				.stream()
				.map((item) -> ((JsonObject) item).getString("attempt"))
				.distinct()
				.toList()))
			.otherwise(Optional.empty());
	}

	@Override
	public Future<ProbeResult> probe(Endpoint engine) {
		HttpClient client = this.pools.create(1);
		return bounded(client)
			.call(options(engine, HttpMethod.GET, "/v1/load", ""), Buffer.buffer(),
					this.settings.getProbeTimeoutMillis())
			.map(ProbeResult.ALIVE)
			.otherwise((cause) -> isRefused(cause) ? ProbeResult.REFUSED : ProbeResult.SILENT)
			.onComplete((done) -> client.close());
	}

	private static boolean isRefused(Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
	}

	@Override
	public void dropConnections(Endpoint engine) {
		this.pools.drop(engine);
	}

	static String errorKind(HttpClientResponse response, Buffer body) {
		String statusKind = "status-" + response.statusCode();
		try {
			return body.toJsonObject().getString("kind", statusKind);
		}
		catch (DecodeException | ClassCastException ex) {
			return statusKind;
		}
	}

	private static RequestOptions options(Endpoint engine, HttpMethod method, String uri, String traceparent) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(engine.address())
			.setPort(engine.port())
			.setURI(uri);
		return traceparent.isEmpty() ? options : options.putHeader("traceparent", traceparent);
	}

}
