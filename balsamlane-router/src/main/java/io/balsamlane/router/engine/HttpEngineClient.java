package io.balsamlane.router.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.engine.DecodeEvent.Broken;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;

/**
 * Engines that take JSON and stream tokens as newline-delimited JSON.
 */
public final class HttpEngineClient implements EngineClient {

	private static final int MAX_CONNECTIONS_PER_ENGINE = 256;

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int CANCEL_TIMEOUT_MILLIS = 1000;

	/** Longest line that an engine may send, in bytes. */
	private static final int MAX_LINE_BYTES = 65_536;

	private final HttpClient client;

	private final long prefillTimeoutMillis;

	private HttpEngineClient(Vertx vertx, long prefillTimeoutMillis) {
		this.prefillTimeoutMillis = prefillTimeoutMillis;
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
				new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENGINE));
	}

	/**
	 * Creates a client.
	 * @param vertx the event loops to use
	 * @param prefillTimeoutMillis longest wait for a prefill, in milliseconds
	 * @return the client
	 */
	public static HttpEngineClient create(Vertx vertx, long prefillTimeoutMillis) {
		return new HttpEngineClient(vertx, prefillTimeoutMillis);
	}

	@Override
	public Future<PrefillResult> prefill(Endpoint engine, PrefillCall call) {
		JsonObject order = new JsonObject().put("attempt", call.attempt())
			.put("model", call.model())
			.put("prompt", call.prompt())
			.put("priority", call.priority());
		Future<PrefillResult> answer = this.client.request(options(engine, "/v1/prefill"))
			.compose((request) -> request.send(order.toBuffer()))
			.compose((response) -> response.body().map((body) -> toPrefillResult(response, body)));
		return answer.timeout(this.prefillTimeoutMillis, TimeUnit.MILLISECONDS)
			.otherwise((cause) -> new PrefillResult.Broken(cause.getMessage()));
	}

	private static PrefillResult toPrefillResult(HttpClientResponse response, Buffer body) {
		JsonObject json = body.toJsonObject();
		if (response.statusCode() != 200) {
			return new PrefillResult.Refused(json.getString("kind", "status-" + response.statusCode()));
		}
		return new PrefillResult.Ready(json.getString("kv"), json.getInteger("tokens"),
				json.getInteger("reusedTokens"));
	}

	@Override
	public Runnable decode(Endpoint engine, DecodeCall call, Consumer<DecodeEvent> listener) {
		JsonObject order = new JsonObject().put("attempt", call.attempt())
			.put("model", call.model())
			.put("kvFrom", call.kvSource().toString())
			.put("kv", call.kvHandle())
			.put("promptTokens", call.promptTokens())
			.put("maxTokens", call.maxTokens())
			.put("offset", call.offset())
			.put("priority", call.priority());
		DecodeStream stream = new DecodeStream(listener);
		this.client.request(options(engine, "/v1/decode"))
			.onSuccess((request) -> stream.open(request, order.toBuffer()))
			.onFailure((cause) -> stream.end(new Broken(cause.getMessage())));
		return stream::close;
	}

	@Override
	public Future<Boolean> cancel(Endpoint engine, String attempt) {
		return this.client.request(options(engine, "/v1/cancel"))
			.compose((request) -> request.send(new JsonObject().put("attempt", attempt).toBuffer()))
			.compose((response) -> response.body().map((body) -> response.statusCode() == 200))
			.timeout(CANCEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.otherwise(false);
	}

	private static RequestOptions options(Endpoint engine, String uri) {
		return new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(engine.address())
			.setPort(engine.port())
			.setURI(uri);
	}

	/**
	 * One decode stream; yields no event after its end.
	 */
	private static final class DecodeStream {

		private final Consumer<DecodeEvent> listener;

		private HttpClientRequest request;

		private boolean ended;

		DecodeStream(Consumer<DecodeEvent> listener) {
			this.listener = listener;
		}

		void open(HttpClientRequest opened, Buffer order) {
			if (this.ended) {
				opened.reset();
				return;
			}
			this.request = opened;
			opened.exceptionHandler((cause) -> end(new Broken(String.valueOf(cause.getMessage()))));
			opened.send(order).onSuccess(this::read).onFailure((cause) -> end(new Broken(cause.getMessage())));
		}

		private void read(HttpClientResponse response) {
			if (response.statusCode() != 200) {
				response.body()
					.onSuccess((body) -> end(new DecodeEvent.Refused(body.toJsonObject().getString("kind"))))
					.onFailure((cause) -> end(new Broken(cause.getMessage())));
				return;
			}
			RecordParser lines = RecordParser.newDelimited("\n", (line) -> accept(line.toJsonObject()));
			lines.maxRecordSize(MAX_LINE_BYTES);
			response.exceptionHandler((cause) -> end(new Broken(String.valueOf(cause.getMessage()))));
			response.endHandler((done) -> end(new Broken("the stream ended before the answer was complete")));
			response.handler(lines);
		}

		private void accept(JsonObject line) {
			if (line.containsKey("finish")) {
				end(new DecodeEvent.Finished(line.getString("finish"), line.getInteger("offset")));
			}
			else if (!this.ended) {
				this.listener.accept(new DecodeEvent.Token(line.getInteger("offset"), line.getString("text")));
			}
		}

		void end(DecodeEvent event) {
			if (!this.ended) {
				this.ended = true;
				this.listener.accept(event);
			}
		}

		void close() {
			this.ended = true;
			if (this.request != null) {
				this.request.reset();
			}
		}

	}

}
