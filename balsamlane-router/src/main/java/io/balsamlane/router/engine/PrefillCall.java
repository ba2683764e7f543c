package io.balsamlane.router.engine;

/**
 * Request to a prefill engine to process a prompt.
 *
 * @param attempt request id and attempt number
 * @param model name of the model
 * @param prompt text of the prompt
 * @param priority priority; a larger value is more urgent
 * @param traceparent trace context of the caller, empty if none
 */
public record PrefillCall(String attempt, String model, String prompt, int priority, String traceparent) {
}
