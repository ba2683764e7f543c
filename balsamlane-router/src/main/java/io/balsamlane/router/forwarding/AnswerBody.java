package io.balsamlane.router.forwarding;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads a server's answer whole.
 */
final class AnswerBody {

	private AnswerBody() {
	}

	/**
	 * Reads an answer. An answer that ends with its connection counts as whole only if
	 * the connection was closed in order.
	 * @param answer the answer
	 * @param maxBytes largest body
	 * @return the body; fails if it is broken off or too large
	 */
	static Future<Buffer> read(HttpClientResponse answer, int maxBytes) {
		Promise<Buffer> promise = Promise.promise();
		Buffer content = Buffer.buffer();
		answer.handler((chunk) -> {
			if (content.length() + chunk.length() > maxBytes) {
				promise.tryFail("the answer has more than " + maxBytes + " bytes");
				return;
			}
			content.appendBuffer(chunk);
		});
		answer.request().connection().exceptionHandler((cause) -> promise.tryFail("connection: " + cause.getMessage()));
		answer.exceptionHandler((cause) -> promise.tryFail(String.valueOf(cause.getMessage())));
		answer.endHandler((ended) -> promise.tryComplete(content));
		return promise.future();
	}

}
