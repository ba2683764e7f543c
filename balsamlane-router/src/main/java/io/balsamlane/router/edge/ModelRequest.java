package io.balsamlane.router.edge;

import java.util.stream.Collectors;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A completion or chat request as its caller sent it.
 *
 * @param requestId id of the request
 * @param chat whether the caller used the chat shape
 * @param model name of the model
 * @param prompt the prompt; for chat the messages' contents, joined
 * @param maxTokens longest answer, in tokens
 * @param stream whether the caller wants server-sent events
 */
record ModelRequest(String requestId, boolean chat, String model, String prompt, int maxTokens, boolean stream) {

	private static final int DEFAULT_MAX_TOKENS = 256;

	static ModelRequest parse(String requestId, boolean chat, JsonObject body) {
		String model = body.getString("model");
		if (model == null || model.isBlank()) {
			throw new IllegalArgumentException("The field model is missing; name a model");
		}
		String prompt = chat ? chatPrompt(body.getJsonArray("messages")) : body.getString("prompt");
		if (prompt == null || prompt.isBlank()) {
			throw new IllegalArgumentException(
					chat ? "The field messages is missing or empty; send at least one message with content"
							: "The field prompt is missing or empty; send a text");
		}
		Integer maxTokens = body.getInteger("max_completion_tokens", body.getInteger("max_tokens", DEFAULT_MAX_TOKENS));
		if (maxTokens < 1) {
			throw new IllegalArgumentException("The field max_tokens is below 1; use 1 or more");
		}
		return new ModelRequest(requestId, chat, model, prompt, maxTokens, body.getBoolean("stream", false));
	}

	private static String chatPrompt(JsonArray messages) {
		if (messages == null) {
			return null;
		}
		return messages.stream()
			.map((message) -> (JsonObject) message)
			.map((message) -> String.valueOf(message.getValue("content")))
			.collect(Collectors.joining("\n"));
	}

	/**
	 * Counts the words of the prompt, the router's estimate of its tokens.
	 * @return the tokens
	 */
	int promptTokens() {
		return this.prompt.trim().split("\\s+").length;
	}

}
