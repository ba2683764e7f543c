package io.balsamlane.standin.engine;

import io.vertx.core.json.JsonObject;

/**
 * KV cache of one prompt on a prefill engine, from the arrival of the prefill to its
 * export, eviction or cancellation.
 */
class KvEntry {

	private final String attempt;

	private final Prompt prompt;

	private final int computedTokens;

	private final int pieces;

	private final long startedNanos;

	private PrefillQueue.Job job;

	private Runnable cancellation = () -> {
	};

	private boolean ready;

	private boolean exporting;

	KvEntry(String attempt, Prompt prompt, int computedTokens, int pieces, long startedNanos) {
		this.attempt = attempt;
		this.prompt = prompt;
		this.computedTokens = computedTokens;
		this.pieces = pieces;
		this.startedNanos = startedNanos;
	}

	String attempt() {
		return this.attempt;
	}

	Prompt prompt() {
		return this.prompt;
	}

	int pieces() {
		return this.pieces;
	}

	/**
	 * Return the number of tokens that the prefill computes, excluding those reused from
	 * the prefix cache.
	 * @return the number of tokens
	 */
	int computedTokens() {
		return this.computedTokens;
	}

	void start(PrefillQueue.Job started, Runnable onCancel) {
		this.job = started;
		this.cancellation = onCancel;
	}

	PrefillQueue.Job job() {
		return this.job;
	}

	/**
	 * Respond to the prefill request of this cancelled entry.
	 */
	void cancelled() {
		this.cancellation.run();
	}

	boolean ready() {
		return this.ready;
	}

	void setReady() {
		this.ready = true;
	}

	boolean exporting() {
		return this.exporting;
	}

	void setExporting() {
		this.exporting = true;
	}

	JsonObject toJson(long nowNanos) {
		return new JsonObject().put("attempt", this.attempt)
			.put("phase", "prefill")
			.put("pieces", this.pieces)
			.put("ageMillis", (nowNanos - this.startedNanos) / 1_000_000);
	}

}
