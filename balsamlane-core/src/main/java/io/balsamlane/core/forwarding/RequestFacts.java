package io.balsamlane.core.forwarding;

import java.util.Objects;

/**
 * What a caller declares about a request.
 *
 * @param requestId id of this attempt of the caller
 * @param deadlineMillis how long the caller waits, in milliseconds; 0 if it does not say
 * @param promptTokens tokens of the prompt, 0 for a plain call
 * @param maxOutputTokens most tokens to generate, 0 for a plain call
 * @param expectedOutputTokens the caller's estimate of the tokens to generate, 0 if it
 * gives none
 * @param lastEventId last event that the caller has of a stream, 0 if none
 */
public record RequestFacts(String requestId, long deadlineMillis, int promptTokens, int maxOutputTokens,
		int expectedOutputTokens, long lastEventId) {

	/**
	 * Requests on one engine are in different phases: half of their output on average,
	 * and some more because long ones stay longer.
	 */
	private static final double OUTPUT_SHARE = 0.6;

	public RequestFacts {
		Objects.requireNonNull(requestId, "requestId");
	}

	/**
	 * Returns the tokens of KV cache that the request holds on average while it runs, for
	 * a request that is one of several on an engine.
	 * @return the prompt and the part of the estimated output that has been generated
	 */
	public long kvTokens() {
		int output = (this.expectedOutputTokens > 0) ? this.expectedOutputTokens : this.maxOutputTokens;
		return this.promptTokens + Math.round(Math.min(output, this.maxOutputTokens) * OUTPUT_SHARE);
	}

}
