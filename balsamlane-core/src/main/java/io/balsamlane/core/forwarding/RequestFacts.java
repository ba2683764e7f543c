package io.balsamlane.core.forwarding;

import java.util.Objects;

/**
 * What a caller declares about a request.
 *
 * @param requestId id of this attempt of the caller
 * @param deadlineMillis how long the caller waits, in milliseconds; 0 if it does not say
 * @param promptTokens tokens of the prompt, 0 for a plain call
 * @param maxOutputTokens most tokens to generate, 0 for a plain call
 * @param lastEventId last event that the caller has of a stream, 0 if none
 */
public record RequestFacts(String requestId, long deadlineMillis, int promptTokens, int maxOutputTokens,
		long lastEventId) {

	public RequestFacts {
		Objects.requireNonNull(requestId, "requestId");
	}

}
