package io.balsamlane.router.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.balsamlane.core.model.PromptPart;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Completion or chat request as sent by its caller.
 *
 * @param requestId id of the request
 * @param chat whether it is a chat request
 * @param model name of the model
 * @param prompt the prompt; for chat requests the contents of the messages, joined by
 * newlines
 * @param maxTokens maximum number of generated tokens
 * @param stream whether the caller wants server-sent events
 * @param includeUsage whether a stream ends with an event that reports token usage
 * @param promptTokens number of words in the prompt, an estimate of its tokens
 * @param prefixHashes hashes of the prompt prefixes that end at each full block of 256
 * tokens
 * @param fingerprint hash of model and prompt
 */
record ModelRequest(String requestId, boolean chat, String model, String prompt, int maxTokens, boolean stream,
		boolean includeUsage, int promptTokens, List<Long> prefixHashes, long fingerprint) {

	private static final int DEFAULT_MAX_TOKENS = 256;

	private static final int BLOCK_TOKENS = 256;

	/**
	 * Parse a request.
	 * @param requestId id of the request
	 * @param chat whether it is a chat request
	 * @param body the JSON object that the caller sent
	 * @return the request
	 * @throws IllegalArgumentException if a field is missing or invalid; the message
	 * states how to correct it
	 */
	static ModelRequest parse(String requestId, boolean chat, JsonObject body) {
		String model = readText(body.getValue("model"), "model");
		if (model.isBlank()) {
			throw new IllegalArgumentException("The field model is missing; name a model");
		}
		String prompt = chat ? chatPrompt(body.getValue("messages")) : readText(body.getValue("prompt"), "prompt");
		if (prompt.isBlank()) {
			throw new IllegalArgumentException(
					chat ? "The field messages is missing or empty; send at least one message with content"
							: "The field prompt is missing or empty; send a text");
		}
		boolean includeUsage = body.getValue("stream_options") instanceof JsonObject options
				&& Boolean.TRUE.equals(options.getValue("include_usage"));
		String[] tokens = prompt.trim().split("\\s+");
		return new ModelRequest(requestId, chat, model, prompt, maxTokens(body), stream(body), includeUsage,
				tokens.length, prefixHashes(model, tokens), hash(model + "\n" + prompt));
	}

	/**
	 * Return the prefixes of the prompt by which other requests that begin in the same
	 * way are recognised.
	 * @return the prefixes, shortest first
	 */
	List<PromptPart> prefixes() {
		return this.prefixHashes.stream().map(PromptPart::of).toList();
	}

	private static int maxTokens(JsonObject body) {
		Object value = Stream.of("max_completion_tokens", "max_tokens")
			.map(body::getValue)
			.filter((candidate) -> candidate != null)
			.findFirst()
			.orElse(DEFAULT_MAX_TOKENS);
		if (!(value instanceof Integer tokens) || tokens < 1) {
			throw new IllegalArgumentException("The field max_tokens is not a whole number of 1 or more; correct it");
		}
		return tokens;
	}

	private static boolean stream(JsonObject body) {
		Object value = body.getValue("stream", false);
		if (value != null && !(value instanceof Boolean)) {
			throw new IllegalArgumentException("The field stream is neither true nor false; correct it");
		}
		return Boolean.TRUE.equals(value);
	}

	private static String chatPrompt(Object messages) {
		if (!(messages instanceof JsonArray array)) {
			return "";
		}
		return array.stream().map((message) -> {
			if (!(message instanceof JsonObject object)) {
				throw new IllegalArgumentException("An item of messages is not an object; send role and content");
			}
			return readText(object.getValue("content"), "content");
		}).collect(Collectors.joining("\n"));
	}

	// Accepts a string, or an array of strings and {"type": "text", "text": ...}
	// objects, which are joined.
	private static String readText(Object value, String field) {
		if (value == null) {
			return "";
		}
		if (value instanceof String text) {
			return text;
		}
		if (value instanceof JsonArray parts) {
			return parts.stream().map((part) -> readPart(part, field)).collect(Collectors.joining());
		}
		throw new IllegalArgumentException("The field " + field + " is not a text; send a text");
	}

	private static String readPart(Object part, String field) {
		if (part instanceof String text) {
			return text;
		}
		if (part instanceof JsonObject object && object.getValue("text") instanceof String text) {
			return text;
		}
		throw new IllegalArgumentException("The field " + field + " has a part that is not a text; send text parts");
	}

	private static List<Long> prefixHashes(String model, String[] tokens) {
		List<Long> hashes = new ArrayList<>(tokens.length / BLOCK_TOKENS);
		long previous = hash(model);
		for (int end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
			StringBuilder block = new StringBuilder(Long.toHexString(previous));
			for (int index = end - BLOCK_TOKENS; index < end; index++) {
				block.append(' ').append(tokens[index]);
			}
			previous = hash(block.toString());
			hashes.add(previous);
		}
		return hashes;
	}

	private static long hash(String text) {
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

}
