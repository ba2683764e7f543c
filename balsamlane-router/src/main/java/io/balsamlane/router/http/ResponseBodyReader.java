package io.balsamlane.router.http;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads the complete body of a backend server's response, up to a maximum size and within
 * the memory that responses may occupy.
 */
public final class ResponseBodyReader {

	private ResponseBodyReader() {
	}

	/**
	 * Read the body of a response that is too small to be counted with the memory of
	 * others.
	 * @param response the response
	 * @param maxBytes maximum size of the body, in bytes
	 * @return the body; fails if it is truncated or too large
	 */
	public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
		return read(response, maxBytes, ResponseMemory.ofSize(maxBytes));
	}

	/**
	 * Read and discard the body of a response, so that its connection can be used again.
	 * The connection is closed instead if the body is not complete within the limits.
	 * @param response the response
	 * @param maxBytes maximum size of the body, in bytes
	 * @param timeoutMillis time limit, in milliseconds
	 */
	public static void drain(HttpClientResponse response, int maxBytes, long timeoutMillis) {
		read(response, maxBytes).timeout(timeoutMillis, TimeUnit.MILLISECONDS)
			.onFailure((cause) -> response.request().reset());
	}

	/**
	 * Read the body of a response. A body that is delimited by the end of the connection
	 * is complete only if the connection was closed without an error.
	 * @param response the response
	 * @param maxBytes maximum size of the body, in bytes
	 * @param memory limits the memory of all responses
	 * @return the body; fails if it is truncated or too large
	 */
	public static Future<Buffer> read(HttpClientResponse response, int maxBytes, ResponseMemory memory) {
		Promise<Buffer> promise = Promise.promise();
		Buffer content = Buffer.buffer();
		response.handler((chunk) -> {
			if (promise.future().isComplete()) {
				return;
			}
			if (content.length() + chunk.length() > maxBytes) {
				promise.tryFail("response body exceeds " + maxBytes + " bytes");
			}
			else if (!memory.tryReserve(content.length(), chunk.length())) {
				promise.tryFail("responses of backend servers occupy the available memory");
			}
			else {
				content.appendBuffer(chunk);
			}
		});
		if (ResponseFraming.endsWithConnection(response)) {
			response.request()
				.connection()
				.exceptionHandler((cause) -> promise.tryFail("connection failed: " + cause.getMessage()));
		}
		response.exceptionHandler((cause) -> promise.tryFail(String.valueOf(cause.getMessage())));
		response.endHandler((ended) -> {
			if (ResponseFraming.endsWithConnection(response)
					&& ResponseFraming.containsSecondResponse(response, content.getBytes())) {
				promise.tryFail("a second response follows");
			}
			promise.tryComplete(content);
		});
		return promise.future().onComplete((read) -> {
			memory.release(content.length());
			// An idle connection of the client refers to its last response, which must
			// not
			// retain the content.
			response.handler(null).endHandler(null);
			if (read.succeeded()) {
				response.exceptionHandler(null);
			}
		});
	}

}
