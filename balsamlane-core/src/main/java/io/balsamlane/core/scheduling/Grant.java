package io.balsamlane.core.scheduling;

import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;

/**
 * A live grant and what is reserved for it.
 */
final class Grant {

	final String key;

	final GrantRequest request;

	final GrantReply reply;

	final CallerState caller;

	/** Null if this scheduler does not know the engine. */
	Engine prefill;

	Engine decode;

	int prefillPieces;

	int decodePieces;

	int chargedTokens;

	long grantedNanos;

	long prefillNanos;

	/** Time of the prefill at the nominal speed. */
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
