package io.balsamlane.standin.engine;

import io.vertx.core.json.JsonObject;

/**
 * Sequence in the decode batch of an engine, with the response stream for its tokens.
 */
class Sequence {

	private final String attempt;

	private final int pieces;

	private final int maxTokens;

	private final DelayedStream stream;

	private final long startedNanos = System.nanoTime();

	private final int firstOffset;

	private int offset;

	private Prompt prompt;

	Sequence(String attempt, int pieces, int offset, int maxTokens, DelayedStream stream) {
		this.attempt = attempt;
		this.pieces = pieces;
		this.firstOffset = offset;
		this.offset = offset;
		this.maxTokens = maxTokens;
		this.stream = stream;
	}

	String attempt() {
		return this.attempt;
	}

	int pieces() {
		return this.pieces;
	}

	int generated() {
		return this.offset - this.firstOffset;
	}

	boolean begun() {
		return this.prompt != null;
	}

	void begin(Prompt imported) {
		this.prompt = imported;
	}

	/**
	 * Generate the next token and send it if the stream is still open.
	 * @param mute whether to suppress the output
	 * @return false once the sequence has ended
	 */
	boolean emit(boolean mute) {
		int length = Math.min(this.maxTokens, this.prompt.answerTokens());
		if (this.offset < length) {
			send(mute, new JsonObject().put("offset", this.offset).put("text", this.prompt.token(this.offset)));
			this.offset++;
			return true;
		}
		send(mute, new JsonObject().put("finish", (length < this.maxTokens) ? "stop" : "length")
			.put("offset", this.offset));
		if (!mute) {
			this.stream.end();
		}
		return false;
	}

	private void send(boolean mute, JsonObject line) {
		if (!mute) {
			this.stream.write(line.encode() + "\n");
		}
	}

	void abort() {
		this.stream.reset();
	}

	JsonObject toJson(long nowNanos) {
		return new JsonObject().put("attempt", this.attempt)
			.put("phase", "decode")
			.put("pieces", this.pieces)
			.put("ageMillis", (nowNanos - this.startedNanos) / 1_000_000);
	}

}
