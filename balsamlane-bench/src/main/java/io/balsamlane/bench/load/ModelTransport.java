package io.balsamlane.bench.load;

import io.vertx.core.http.HttpClient;

/**
 * Sends requests and delivers their answers.
 */
@FunctionalInterface
public interface ModelTransport {

	/**
	 * Send a request. The listener is called on the event loop of the client.
	 * @param client the client to use
	 * @param call the request
	 * @param listener listener that receives the answer
	 * @return an action that cancels the request as the customer would; without effect
	 * after the end of the answer
	 */
	Runnable send(HttpClient client, ModelCall call, AnswerListener listener);

	/**
	 * Listener for the parts and the end of one answer.
	 */
	interface AnswerListener {

		/**
		 * Handle the next part of the answer.
		 * @param text text of one token
		 */
		void token(String text);

		/**
		 * Handle the end of the answer.
		 * @param errorKind kind of the error; empty for a complete answer
		 * @param notRun whether the answer says that the request did not run
		 */
		void end(String errorKind, boolean notRun);

	}

}
