package io.balsamlane.router.edge;

import io.balsamlane.schema.EdgeSettings;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Writes the answer of a model request in the shape that its caller asked for:
 * server-sent events or one JSON document.
 * <p>
 * Events for a caller that reads slowly are kept up to a bound.
 */
final class AnswerWriter {

	private final Vertx vertx;

	private final HttpServerResponse response;

	private final ModelRequest request;

	private final long createdSeconds;

	private final int maxBufferBytes;

	private final int idleTimeoutMillis;

	private final StringBuilder collected = new StringBuilder();

	private final StringBuilder waiting = new StringBuilder();

	private boolean started;

	private boolean firstSent;

	private boolean ended;

	private AnswerWriter(Vertx vertx, HttpServerResponse response, ModelRequest request, EdgeSettings settings) {
		this.vertx = vertx;
		this.response = response;
		this.request = request;
		this.createdSeconds = System.currentTimeMillis() / 1000;
		this.maxBufferBytes = settings.getMaxStreamBufferBytes();
		this.idleTimeoutMillis = settings.getIdleTimeoutMillis();
	}

	static AnswerWriter create(Vertx vertx, HttpServerResponse response, ModelRequest request, EdgeSettings settings) {
		return new AnswerWriter(vertx, response, request, settings);
	}

	/**
	 * Sends or collects a token.
	 * @param text text of the token
	 * @return false if more bytes wait for the caller than allowed; the answer must then
	 * be failed
	 */
	boolean token(String text) {
		if (!this.request.stream()) {
			this.collected.append(text);
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

	void finish(String reason, int promptTokens, int answerTokens) {
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		JsonObject usage = new JsonObject().put("prompt_tokens", promptTokens)
			.put("completion_tokens", answerTokens)
			.put("total_tokens", promptTokens + answerTokens);
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
						.put("content", this.collected.toString())
						.putNull("refusal"));
		}
		else {
			choice.put("text", this.collected.toString());
		}
		JsonObject body = envelope(false).put("usage", usage).put("choices", new JsonArray().add(choice));
		this.response.putHeader("content-type", "application/json").end(body.encode());
	}

	/**
	 * Ends an answer that cannot be completed; a stream ends with an error event.
	 * @param refusal the error
	 */
	void fail(Refusal refusal) {
		if (!this.started) {
			refusal.send(this.response);
			return;
		}
		if (refusal.kind().equals(ErrorKind.SLOW_CALLER.text())) {
			this.waiting.setLength(0);
		}
		end("event: error\n" + event(new JsonObject().put("error", refusal.toErrorJson())));
	}

	private boolean write(String event) {
		if (this.response.closed()) {
			return true;
		}
		if (this.waiting.isEmpty() && !this.response.writeQueueFull()) {
			this.response.write(event);
			return true;
		}
		this.waiting.append(event);
		return this.waiting.length() <= this.maxBufferBytes;
	}

	private void flush() {
		if (this.waiting.isEmpty() || this.response.closed() || this.response.ended()) {
			return;
		}
		String text = this.waiting.toString();
		this.waiting.setLength(0);
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
		this.waiting.append(last);
		// What waits is bounded, so it may be handed over although the caller is slow.
		closeIfNotRead();
		flush();
	}

	// Frees the connection of a caller that never reads the end of its answer.
	private void closeIfNotRead() {
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
