package io.balsamlane.router.engine;

import io.balsamlane.core.model.Endpoint;

/**
 * Request to a decode engine to import a KV cache and generate the answer.
 *
 * @param attempt request id and attempt number
 * @param model name of the model
 * @param kvSource address of the prefill engine that holds the KV cache
 * @param kvHandle handle of the KV cache
 * @param promptTokens length of the prompt, in tokens
 * @param maxTokens maximum length of the answer, in tokens
 * @param offset position of the first token to send, from 0
 * @param priority priority; a larger value is more urgent
 * @param traceparent trace context of the caller, empty if none
 */
public record DecodeCall(String attempt, String model, Endpoint kvSource, String kvHandle, int promptTokens,
		int maxTokens, int offset, int priority, String traceparent) {
}
