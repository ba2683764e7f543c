package io.balsamlane.bench.load;

/**
 * One request of a caller.
 *
 * @param index position in the load, from 0
 * @param dueNanos time at which the caller wants to send, as {@link System#nanoTime()}
 * @param model name of the model
 * @param token bearer token of the caller
 * @param prompt the prompt
 * @param promptTokens tokens of the prompt
 * @param ownTokens tokens of the prompt behind its shared prefix
 * @param maxTokens limit of the answer, in tokens
 * @param expected the complete answer that the caller must receive
 * @param cancelAfterTokens tokens after which the caller closes; negative for never, 0
 * for before the first token
 */
public record ModelCall(int index, long dueNanos, String model, String token, String prompt, int promptTokens,
		int ownTokens, int maxTokens, String expected, int cancelAfterTokens) {

}
