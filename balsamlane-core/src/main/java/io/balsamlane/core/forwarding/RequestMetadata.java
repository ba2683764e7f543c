package io.balsamlane.core.forwarding;

import java.util.List;
import java.util.Objects;

import io.balsamlane.core.model.PromptPart;

/**
 * Metadata that a caller declares about a request.
 *
 * @param requestId id of the caller's attempt
 * @param deadlineMillis time for which the caller waits, in milliseconds, 0 if not
 * declared
 * @param promptTokens number of tokens in the prompt, 0 for a plain call
 * @param maxOutputTokens maximum number of tokens to generate, 0 for a plain call
 * @param expectedOutputTokens the caller's estimate of the number of tokens to generate,
 * 0 if not declared
 * @param lastEventId id of the last event of the stream that the caller received, 0 if
 * none
 * @param promptParts parts of the prompt in their order, empty if not declared; the last
 * one belongs to this request or to its session
 */
public record RequestMetadata(String requestId, long deadlineMillis, int promptTokens, int maxOutputTokens,
		int expectedOutputTokens, long lastEventId, List<PromptPart> promptParts) {

	/**
	 * Average share of the output that requests in progress on an engine have generated.
	 * More than half, because requests with a long output are in progress for longer.
	 */
	private static final double OUTPUT_SHARE = 0.6;

	public RequestMetadata {
		Objects.requireNonNull(requestId, "requestId");
		promptParts = List.copyOf(promptParts);
	}

	/**
	 * Return the parts of the prompt that other requests may share.
	 * @return all parts but the last one
	 */
	public List<PromptPart> sharedPromptParts() {
		return this.promptParts.subList(0, Math.max(0, this.promptParts.size() - 1));
	}

	/**
	 * Return the average number of KV cache tokens that the request holds while it runs
	 * alongside other requests on an engine.
	 * @return the tokens of the prompt and of the average generated part of the estimated
	 * output
	 */
	public long kvTokens() {
		int output = (this.expectedOutputTokens > 0) ? this.expectedOutputTokens : this.maxOutputTokens;
		return this.promptTokens + Math.round(Math.min(output, this.maxOutputTokens) * OUTPUT_SHARE);
	}

}
