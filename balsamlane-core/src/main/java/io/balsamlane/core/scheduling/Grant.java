package io.balsamlane.core.scheduling;

import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;

/**
 * Live grant with its reservations and timestamps.
 */
final class Grant {

	final String key;

	final GrantRequest request;

	final GrantReply reply;

	final CallerState caller;

	/** Null if the engine is unknown to this scheduler. */
	Engine prefill;

	Engine decode;

	int prefillPieces;

	int decodePieces;

	int chargedTokens;

	long grantedNanos;

	long prefillNanos;

	/** Prefill time at nominal speed. */
	double nominalPrefillNanos;

	long transferNanos;

	long expectedFirstTokenNanos;

	long prefillDoneNanos;

	long firstTokenNanos;

	int batchAtFirstToken;

	long renewedNanos;

	/** Whether the prefill still counts as queued on its engine. */
	boolean prefilling;

	boolean decoding;

	boolean probesPrefill;

	boolean probesDecode;

	Grant(String key, GrantRequest request, GrantReply reply, CallerState caller) {
		this.key = key;
		this.request = request;
		this.reply = reply;
		this.caller = caller;
	}

}
