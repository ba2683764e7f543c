package io.balsamlane.bench.load;

import java.util.Optional;
import java.util.function.Function;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;

/**
 * Sends completion requests to routers and reads the answers as server-sent events.
 */
public final class RouterTransport implements ModelTransport {

	private static final String DONE = "[DONE]";

	private static final String DATA_PREFIX = "data: ";

	private final Function<ModelCall, Integer> routerPorts;

	private RouterTransport(Function<ModelCall, Integer> routerPorts) {
		this.routerPorts = routerPorts;
	}

	/**
	 * Create a transport.
	 * @param routerPorts function that picks the loopback port of the router for a
	 * request, in place of the platform's load balancer
	 * @return the transport
	 */
	public static RouterTransport create(Function<ModelCall, Integer> routerPorts) {
		return new RouterTransport(routerPorts);
	}

	@Override
	public Runnable send(HttpClient client, ModelCall call, AnswerListener listener) {
		JsonObject body = new JsonObject().put("model", call.model())
			.put("prompt", call.prompt())
			.put("max_tokens", call.maxTokens())
			.put("stream", true);
		Stream stream = new Stream(listener);
		client
			.request(new RequestOptions().setMethod(HttpMethod.POST)
				.setHost("127.0.0.1")
				.setPort(this.routerPorts.apply(call))
				.setURI("/v1/completions")
				.putHeader("Authorization", "Bearer " + call.token())
				.putHeader("content-type", "application/json"))
			.onSuccess((request) -> stream.open(request, body.toBuffer()))
			.onFailure((cause) -> stream.end("connect", true));
		return stream::close;
	}

	/**
	 * State of one answer until it ends or the customer closes the connection.
	 */
	private static final class Stream {

		private final AnswerListener listener;

		private HttpClientRequest request;

		private boolean ended;

		Stream(AnswerListener listener) {
			this.listener = listener;
		}

		void open(HttpClientRequest opened, Buffer body) {
			if (this.ended) {
				opened.reset();
				return;
			}
			this.request = opened;
			opened.exceptionHandler((cause) -> end("broken", false));
			opened.send(body).onSuccess(this::read).onFailure((cause) -> end("broken", false));
		}

		private void read(HttpClientResponse response) {
			response.exceptionHandler((cause) -> end("broken", false));
			if (response.statusCode() != 200) {
				response.body().onSuccess(this::refused).onFailure((cause) -> end("broken", false));
				return;
			}
			response.endHandler((done) -> end("truncated", false));
			response.handler(RecordParser.newDelimited("\n\n", this::event));
		}

		private void refused(Buffer body) {
			JsonObject problem = body.toJsonObject();
			end(problem.getString("kind", "unknown"), "no".equals(problem.getString("ran")));
		}

		private void event(Buffer event) {
			String data = event.toString().substring(DATA_PREFIX.length());
			if (data.equals(DONE)) {
				end("", false);
				return;
			}
			JsonObject json = new JsonObject(data);
			if (json.containsKey("error")) {
				end(json.getJsonObject("error").getString("kind", "unknown"), false);
				return;
			}
			String text = Optional.ofNullable(json.getJsonArray("choices").getJsonObject(0).getString("text"))
				.orElse("");
			if (!text.isEmpty() && !this.ended) {
				this.listener.token(text);
			}
		}

		void end(String errorKind, boolean notRun) {
			if (!this.ended) {
				this.ended = true;
				this.listener.end(errorKind, notRun);
			}
		}

		void close() {
			if (!this.ended) {
				this.ended = true;
				if (this.request != null) {
					this.request.reset();
				}
			}
		}

	}

}
