package io.balsamlane.router.engine;

/**
 * Order to prefill a prompt.
 *
 * @param attempt request id and attempt number
 * @param model name of the model
 * @param prompt the prompt
 * @param priority larger is more urgent
 * @param traceparent trace context of the caller, empty if none
 */
public record PrefillCall(String attempt, String model, String prompt, int priority, String traceparent) {
}
