package io.balsamlane.router.engine;

import io.balsamlane.core.model.Endpoint;

/**
 * Order to import a KV cache and decode.
 *
 * @param attempt request id and attempt number
 * @param model name of the model
 * @param kvSource prefill engine that holds the KV cache
 * @param kvHandle handle of the KV cache
 * @param promptTokens tokens of the prompt
 * @param maxTokens longest answer, in tokens
 * @param offset first token to send
 * @param priority larger is more urgent
 * @param traceparent trace context of the caller, empty if none
 */
public record DecodeCall(String attempt, String model, Endpoint kvSource, String kvHandle, int promptTokens,
		int maxTokens, int offset, int priority, String traceparent) {
}
