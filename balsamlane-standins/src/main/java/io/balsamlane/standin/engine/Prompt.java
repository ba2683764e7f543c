package io.balsamlane.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;

/**
 * Prompt as the engine stand-in sees it: its words are its tokens, and a hash decides the
 * answer, so that a test can tell the expected text.
 *
 * @param tokens number of tokens
 * @param hash hash of the whole prompt
 * @param blockHashes hashes of the prefixes that end at each full block
 * @param marker the last words of the prompt, where tests put their marks
 */
public record Prompt(int tokens, int hash, List<Integer> blockHashes, String marker) {

	private static final int MARKER_CHARS = 200;

	private static final int SHORTEST_ANSWER_TOKENS = 20;

	private static final int ANSWER_SPREAD_TOKENS = 60;

	/**
	 * Splits a prompt into tokens.
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
	 * Returns the length of the answer if nothing limits it.
	 * @return the tokens of the answer
	 */
	public int answerTokens() {
		return SHORTEST_ANSWER_TOKENS + Math.floorMod(this.hash, ANSWER_SPREAD_TOKENS);
	}

	/**
	 * Returns one token of the answer.
	 * @param offset position in the answer, from 0
	 * @return the text of the token
	 */
	public String token(int offset) {
		return Integer.toHexString((this.hash + offset * 0x9E3779B9) >>> 12) + " ";
	}

	/**
	 * Returns the whole answer.
	 * @param maxTokens limit of its length, in tokens
	 * @return the text that a correct stream yields
	 */
	public String answer(int maxTokens) {
		StringBuilder text = new StringBuilder();
		for (int offset = 0; offset < Math.min(maxTokens, answerTokens()); offset++) {
			text.append(token(offset));
		}
		return text.toString();
	}

}
