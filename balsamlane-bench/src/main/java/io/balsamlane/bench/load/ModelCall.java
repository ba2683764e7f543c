package io.balsamlane.bench.load;

/**
 * One request of a customer.
 *
 * @param index position of the request in the load, from 0
 * @param dueNanos time at which the request is due, as {@link System#nanoTime()}
 * @param model name of the model
 * @param token bearer token of the customer
 * @param prompt the prompt
 * @param promptTokens number of tokens of the prompt
 * @param ownTokens number of tokens of the prompt after its shared prefix
 * @param maxTokens limit of the answer, in tokens
 * @param expected the complete answer that the customer must receive
 * @param cancelAfterTokens number of tokens after which the customer cancels; 0 to cancel
 * before the first token, negative to never cancel
 */
public record ModelCall(int index, long dueNanos, String model, String token, String prompt, int promptTokens,
		int ownTokens, int maxTokens, String expected, int cancelAfterTokens) {

}
