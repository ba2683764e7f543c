package io.balsamlane.router.edge;

import java.util.function.Consumer;

import io.balsamlane.schema.EdgeSettings;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Reads the body of a model request within its size and time limits.
 */
final class BodyReader {

	private final Vertx vertx;

	private final HttpServerRequest request;

	private final int maxBytes;

	private final Consumer<Result> listener;

	private final Buffer bytes = Buffer.buffer();

	private long timer;

	private boolean done;

	private BodyReader(Vertx vertx, HttpServerRequest request, int maxBytes, Consumer<Result> listener) {
		this.vertx = vertx;
		this.request = request;
		this.maxBytes = maxBytes;
		this.listener = listener;
	}

	/**
	 * Read the body of a request.
	 * @param vertx the event loops to use
	 * @param request the request
	 * @param settings the limits
	 * @param listener receives one result, or none if the caller disconnects
	 */
	static void read(Vertx vertx, HttpServerRequest request, EdgeSettings settings, Consumer<Result> listener) {
		new BodyReader(vertx, request, settings.getMaxModelBodyBytes(), listener)
			.start(settings.getBodyTimeoutMillis());
	}

	private void start(int timeoutMillis) {
		String length = this.request.getHeader("content-length");
		if (length != null && length.length() < 19 && Long.parseLong(length) > this.maxBytes) {
			refuseTooLarge();
			return;
		}
		this.timer = this.vertx.setTimer(timeoutMillis, (id) -> complete(new Refused(Refusal.of(ErrorKind.SLOW_REQUEST,
				Ran.NO, "the body did not arrive within " + timeoutMillis + " ms"))));
		this.request.handler(this::append);
		this.request.exceptionHandler((cause) -> complete(null));
		this.request.endHandler((ended) -> complete(new Body(this.bytes)));
	}

	private void append(Buffer part) {
		if (this.done) {
			return;
		}
		if (this.bytes.length() + part.length() > this.maxBytes) {
			refuseTooLarge();
		}
		else {
			this.bytes.appendBuffer(part);
		}
	}

	private void refuseTooLarge() {
		complete(new Refused(
				Refusal.of(ErrorKind.BODY_TOO_LARGE, Ran.NO, "the body is larger than " + this.maxBytes + " bytes")));
	}

	private void complete(Result result) {
		if (this.done) {
			return;
		}
		this.done = true;
		this.vertx.cancelTimer(this.timer);
		if (result != null) {
			this.listener.accept(result);
		}
	}

	/**
	 * Result of reading a body.
	 */
	sealed interface Result {

	}

	/**
	 * The body arrived completely.
	 *
	 * @param bytes the body
	 */
	record Body(Buffer bytes) implements Result {
	}

	/**
	 * The body exceeded a limit.
	 *
	 * @param refusal the response to the caller
	 */
	record Refused(Refusal refusal) implements Result {
	}

}
