package io.balsamlane.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;

/**
 * Tokenized prompt of the engine stand-in. Each word is one token, and the answer is
 * derived from a hash of the prompt, so that tests can compute the expected text.
 *
 * @param tokens number of tokens
 * @param hash hash of the whole prompt
 * @param blockHashes hashes of the prefixes that end at a full block, shortest first
 * @param marker the last characters of the prompt, in which tests place the crash marker
 */
public record Prompt(int tokens, int hash, List<Integer> blockHashes, String marker) {

	private static final int MARKER_CHARS = 200;

	private static final int MIN_ANSWER_TOKENS = 20;

	private static final int ANSWER_RANGE_TOKENS = 60;

	/**
	 * Parse a prompt into tokens and compute its hashes.
	 * @param text the prompt
	 * @return the parsed prompt
	 */
	public static Prompt parse(String text) {
		List<Integer> blocks = new ArrayList<>();
		int[] state = { 0, 7 };
		Stream.of(text.trim().split("\\s+")).forEach((word) -> {
			state[1] = 31 * state[1] + word.hashCode();
			if (++state[0] % EngineCapacity.BLOCK_TOKENS == 0) {
				blocks.add(state[1]);
			}
		});
		return new Prompt(state[0], state[1], blocks, text.substring(Math.max(0, text.length() - MARKER_CHARS)));
	}

	static Prompt fromJson(JsonObject json) {
		return new Prompt(json.getInteger("tokens"), json.getInteger("hash"), List.of(), json.getString("marker"));
	}

	JsonObject toJson() {
		return new JsonObject().put("tokens", this.tokens).put("hash", this.hash).put("marker", this.marker);
	}

	/**
	 * Return the length of the answer without a token limit.
	 * @return the number of tokens in the answer
	 */
	public int answerTokens() {
		return MIN_ANSWER_TOKENS + Math.floorMod(this.hash, ANSWER_RANGE_TOKENS);
	}

	/**
	 * Return one token of the answer.
	 * @param offset zero-based position of the token in the answer
	 * @return the text of the token
	 */
	public String token(int offset) {
		return Integer.toHexString((this.hash + offset * 0x9E3779B9) >>> 12) + " ";
	}

	/**
	 * Return the full text of the answer.
	 * @param maxTokens maximum length of the answer, in tokens
	 * @return the text that a complete stream delivers
	 */
	public String answer(int maxTokens) {
		StringBuilder text = new StringBuilder();
		for (int offset = 0; offset < Math.min(maxTokens, answerTokens()); offset++) {
			text.append(token(offset));
		}
		return text.toString();
	}

}
