package io.balsamlane.router.edge;

import io.balsamlane.schema.EdgeSettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Writes the response to a model request in the format that the caller requested:
 * server-sent events or a single JSON document.
 * <p>
 * Events for a slow caller are buffered up to {@code max_stream_buffer_bytes}.
 */
final class ResponseWriter {

	private final Vertx vertx;

	private final HttpServerResponse response;

	private final ModelRequest request;

	private final long createdSeconds;

	private final int maxBufferBytes;

	private final int idleTimeoutMillis;

	private final StringBuilder collectedText = new StringBuilder();

	private final StringBuilder pending = new StringBuilder();

	private boolean started;

	private boolean firstSent;

	private boolean ended;

	private ResponseWriter(Vertx vertx, HttpServerResponse response, ModelRequest request, EdgeSettings settings) {
		this.vertx = vertx;
		this.response = response;
		this.request = request;
		this.createdSeconds = System.currentTimeMillis() / 1000;
		this.maxBufferBytes = settings.getMaxStreamBufferBytes();
		this.idleTimeoutMillis = settings.getIdleTimeoutMillis();
	}

	static ResponseWriter create(Vertx vertx, HttpServerResponse response, ModelRequest request,
			EdgeSettings settings) {
		return new ResponseWriter(vertx, response, request, settings);
	}

	/**
	 * Write a token to the event stream, or collect it for the JSON document.
	 * @param text text of the token
	 * @return {@code false} if the buffer exceeds its limit; the response must then be
	 * ended with {@link #fail}
	 */
	boolean writeToken(String text) {
		if (!this.request.stream()) {
			this.collectedText.append(text);
			return true;
		}
		if (!this.started) {
			this.started = true;
			this.response.setChunked(true)
				.putHeader("content-type", "text/event-stream")
				.putHeader("cache-control", "no-cache")
				.drainHandler((drained) -> flush());
		}
		return write(event(chunk(text, null)));
	}

	void finish(String reason, int promptTokens, int completionTokens) {
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		JsonObject usage = new JsonObject().put("prompt_tokens", promptTokens)
			.put("completion_tokens", completionTokens)
			.put("total_tokens", promptTokens + completionTokens);
		if (this.request.stream()) {
			StringBuilder last = new StringBuilder(event(chunk("", reason)));
			if (this.request.includeUsage()) {
				last.append(event(envelope(true).put("choices", new JsonArray()).put("usage", usage)));
			}
			end(last.append("data: [DONE]\n\n").toString());
			return;
		}
		JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", reason).putNull("logprobs");
		if (this.request.chat()) {
			choice.put("message",
					new JsonObject().put("role", "assistant")
						.put("content", this.collectedText.toString())
						.putNull("refusal"));
		}
		else {
			choice.put("text", this.collectedText.toString());
		}
		JsonObject body = envelope(false).put("usage", usage).put("choices", new JsonArray().add(choice));
		this.response.putHeader("content-type", "application/json").end(body.encode());
	}

	/**
	 * End a response that cannot be completed; a stream ends with an error event.
	 * @param refusal the error to report
	 */
	void fail(Refusal refusal) {
		if (!this.started) {
			refusal.send(this.response);
			return;
		}
		if (refusal.kind().equals(ErrorKind.SLOW_CALLER.text())) {
			this.pending.setLength(0);
		}
		end("event: error\n" + event(new JsonObject().put("error", refusal.toErrorJson())));
	}

	private boolean write(String event) {
		if (this.response.closed()) {
			return true;
		}
		if (this.pending.isEmpty() && !this.response.writeQueueFull()) {
			this.response.write(event);
			return true;
		}
		this.pending.append(event);
		return this.pending.length() <= this.maxBufferBytes;
	}

	private void flush() {
		if (this.pending.isEmpty() || this.response.closed() || this.response.ended()) {
			return;
		}
		String text = this.pending.toString();
		this.pending.setLength(0);
		if (this.ended) {
			this.response.end(text);
		}
		else {
			this.response.write(text);
		}
	}

	private void end(String last) {
		if (this.ended || this.response.closed() || this.response.ended()) {
			return;
		}
		this.ended = true;
		this.pending.append(last);
		// Pending text is bounded, so it is written even if the write queue is full.
		resetIfNotRead();
		flush();
	}

	// Resets the connection of a caller that does not read the rest of its response.
	private void resetIfNotRead() {
		if (this.response.writeQueueFull()) {
			long timer = this.vertx.setTimer(this.idleTimeoutMillis, (id) -> this.response.reset());
			this.response.bodyEndHandler((ended) -> this.vertx.cancelTimer(timer));
		}
	}

	private static String event(JsonObject json) {
		return "data: " + json.encode() + "\n\n";
	}

	private JsonObject chunk(String text, String finishReason) {
		JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", finishReason).putNull("logprobs");
		if (this.request.chat()) {
			JsonObject delta = new JsonObject();
			if (!this.firstSent) {
				delta.put("role", "assistant");
			}
			choice.put("delta", delta.put("content", text));
		}
		else {
			choice.put("text", text);
		}
		this.firstSent = true;
		return envelope(true).put("choices", new JsonArray().add(choice));
	}

	private JsonObject envelope(boolean streamed) {
		String object = "text_completion";
		if (this.request.chat()) {
			object = streamed ? "chat.completion.chunk" : "chat.completion";
		}
		return new JsonObject().put("id", this.request.requestId())
			.put("object", object)
			.put("created", this.createdSeconds)
			.put("model", this.request.model());
	}

}
