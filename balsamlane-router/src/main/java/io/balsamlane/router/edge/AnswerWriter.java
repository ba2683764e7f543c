package io.balsamlane.router.edge;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Writes the answer of a model request in the shape that its caller asked for:
 * server-sent events or one JSON document.
 */
final class AnswerWriter {

	private final HttpServerResponse response;

	private final ModelRequest request;

	private final long createdSeconds;

	private final StringBuilder collected = new StringBuilder();

	private boolean started;

	private AnswerWriter(HttpServerResponse response, ModelRequest request, long createdSeconds) {
		this.response = response;
		this.request = request;
		this.createdSeconds = createdSeconds;
	}

	static AnswerWriter create(HttpServerResponse response, ModelRequest request, long createdSeconds) {
		return new AnswerWriter(response, request, createdSeconds);
	}

	boolean started() {
		return this.started;
	}

	void token(String text) {
		if (!this.request.stream()) {
			this.collected.append(text);
			return;
		}
		if (!this.started) {
			this.started = true;
			this.response.setChunked(true)
				.putHeader("content-type", "text/event-stream")
				.putHeader("cache-control", "no-cache");
		}
		event(chunk(text, null));
	}

	void finish(String reason, int promptTokens, int answerTokens) {
		if (this.response.closed() || this.response.ended()) {
			return;
		}
		if (this.request.stream()) {
			event(chunk("", reason));
			this.response.end("data: [DONE]\n\n");
			return;
		}
		JsonObject usage = new JsonObject().put("prompt_tokens", promptTokens)
			.put("completion_tokens", answerTokens)
			.put("total_tokens", promptTokens + answerTokens);
		JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", reason);
		if (this.request.chat()) {
			choice.put("message", new JsonObject().put("role", "assistant").put("content", this.collected.toString()));
		}
		else {
			choice.put("text", this.collected.toString());
		}
		JsonObject body = envelope(this.request.chat() ? "chat.completion" : "text_completion").put("usage", usage)
			.put("choices", new JsonArray().add(choice));
		this.response.putHeader("content-type", "application/json").end(body.encode());
	}

	/**
	 * Ends a stream that cannot be completed with an error event.
	 * @param refusal the error
	 */
	void fail(Refusal refusal) {
		if (!this.started) {
			refusal.send(this.response);
			return;
		}
		if (!this.response.closed()) {
			event(new JsonObject().put("error", refusal.toJson()));
			this.response.end();
		}
	}

	private void event(JsonObject json) {
		if (!this.response.closed()) {
			this.response.write("data: " + json.encode() + "\n\n");
		}
	}

	private JsonObject chunk(String text, String finishReason) {
		JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", finishReason);
		if (this.request.chat()) {
			choice.put("delta", new JsonObject().put("role", "assistant").put("content", text));
		}
		else {
			choice.put("text", text);
		}
		return envelope(this.request.chat() ? "chat.completion.chunk" : "text_completion").put("choices",
				new JsonArray().add(choice));
	}

	private JsonObject envelope(String object) {
		return new JsonObject().put("id", this.request.requestId())
			.put("object", object)
			.put("created", this.createdSeconds)
			.put("model", this.request.model());
	}

}
