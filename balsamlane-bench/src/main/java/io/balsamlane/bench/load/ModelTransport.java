package io.balsamlane.bench.load;

import io.vertx.core.http.HttpClient;

/**
 * Way from a caller to an answer.
 */
@FunctionalInterface
public interface ModelTransport {

	/**
	 * Sends a request. All events come on the event loop of the client.
	 * @param client the client to use
	 * @param call the request
	 * @param listener receives the answer
	 * @return closes the caller's side; has no effect after the end
	 */
	Runnable send(HttpClient client, ModelCall call, AnswerListener listener);

	/**
	 * Receiver of one answer.
	 */
	interface AnswerListener {

		/**
		 * Takes the next part of the answer.
		 * @param text text of one token
		 */
		void token(String text);

		/**
		 * Takes the end of the answer.
		 * @param errorKind kind of the error; empty for a complete answer
		 * @param notRun whether the answer says that the request did not run
		 */
		void end(String errorKind, boolean notRun);

	}

}
