package io.balsamlane.bench.scheduling;

import io.balsamlane.schema.GrantReply;

/**
 * State of one simulated request.
 */
final class ModelRequest {

	final String id;

	final String caller;

	final long arrivalNanos;

	final int tokens;

	final int prefix;

	final int answerTokens;

	final boolean inSwing;

	int attempt = 1;

	int router;

	int generatedTokens;

	long firstTokenNanos;

	GrantReply grant;

	ModelRequest(String id, String caller, long arrivalNanos, int tokens, int prefix, int answerTokens,
			boolean inSwing) {
		this.id = id;
		this.caller = caller;
		this.arrivalNanos = arrivalNanos;
		this.tokens = tokens;
		this.prefix = prefix;
		this.answerTokens = answerTokens;
		this.inSwing = inSwing;
	}

	int prefillPieces() {
		return (this.tokens + 2047) / 2048;
	}

	int decodePieces() {
		return (this.tokens + ModelPlan.MAX_TOKENS + 2047) / 2048;
	}

}
