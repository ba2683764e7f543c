package io.balsamlane.bench.scheduling;

import io.balsamlane.schema.GrantReply;

/**
 * Request of the model.
 */
final class ModelRequest {

	final String id;

	final String caller;

	final long arrivedNanos;

	final int tokens;

	final int prefix;

	final int answer;

	final boolean inSwing;

	int attempt = 1;

	int router;

	int generated;

	long firstTokenNanos;

	GrantReply grant;

	ModelRequest(String id, String caller, long arrivedNanos, int tokens, int prefix, int answer, boolean inSwing) {
		this.id = id;
		this.caller = caller;
		this.arrivedNanos = arrivedNanos;
		this.tokens = tokens;
		this.prefix = prefix;
		this.answer = answer;
		this.inSwing = inSwing;
	}

	int prefillPieces() {
		return (this.tokens + 2047) / 2048;
	}

	int decodePieces() {
		return (this.tokens + ModelPlan.MAX_TOKENS + 2047) / 2048;
	}

}
