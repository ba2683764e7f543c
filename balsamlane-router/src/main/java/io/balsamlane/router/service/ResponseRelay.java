package io.balsamlane.router.service;

import com.google.protobuf.ByteString;
import io.balsamlane.router.http.ResponseFraming;
import io.balsamlane.schema.StoredAnswer;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;

/**
 * Streams the answer of a replica to the caller with backpressure, and buffers its body,
 * up to a maximum length, for the call record. The answer is read to its end even if the
 * caller has closed the connection, so that the outcome of a non-repeatable call is still
 * recorded; one that is too long then is aborted, because it may not end.
 */
final class ResponseRelay {

	/** Maximum length of the rest of an answer whose caller has gone, in bytes. */
	private static final long MAX_UNDELIVERED_BYTES = 16L << 20;

	private final HttpClientResponse from;

	private final HttpServerResponse to;

	private final int maxStoredBytes;

	private final Buffer stored = Buffer.buffer();

	private boolean omitted;

	private long undeliveredBytes;

	private ResponseRelay(HttpClientResponse from, HttpServerResponse to, int maxStoredBytes) {
		this.from = from;
		this.to = to;
		this.maxStoredBytes = maxStoredBytes;
	}

	/**
	 * Stream an answer.
	 * @param from the answer, paused
	 * @param to the response to the caller
	 * @param maxStoredBytes maximum length of a body that is stored, in bytes; the body
	 * of a longer answer is omitted
	 * @return the answer for the record, once the replica has sent all of it; fails if
	 * the answer is incomplete
	 */
	static Future<StoredAnswer> relay(HttpClientResponse from, HttpServerResponse to, int maxStoredBytes) {
		ResponseRelay relay = new ResponseRelay(from, to, maxStoredBytes);
		Promise<StoredAnswer> promise = Promise.promise();
		relay.start(promise);
		return promise.future();
	}

	private void start(Promise<StoredAnswer> promise) {
		this.to.setStatusCode(this.from.statusCode());
		ForwardedHeaders.copyResponse(this.from.headers(), this.to.headers());
		boolean withoutBody = this.from.request().getMethod() == HttpMethod.HEAD || this.from.statusCode() == 204
				|| this.from.statusCode() == 304;
		if (!withoutBody && this.from.getHeader("content-length") == null) {
			this.to.setChunked(true);
		}
		this.from.handler((buffer) -> receive(buffer, promise));
		this.from.exceptionHandler((cause) -> {
			if (promise.tryFail(cause) && open()) {
				// Resets the connection so that the caller detects the incomplete answer.
				this.to.reset();
			}
		});
		this.from.endHandler((ended) -> {
			promise.tryComplete(toStoredAnswer());
			if (open()) {
				this.to.end();
			}
		});
		this.to.closeHandler((closed) -> this.from.resume());
		this.from.resume();
	}

	private void receive(Buffer buffer, Promise<StoredAnswer> promise) {
		if (promise.future().isComplete()) {
			return;
		}
		if (ResponseFraming.containsSecondResponse(this.from, buffer.getBytes())) {
			promise.tryFail("a second response follows");
			if (open()) {
				this.to.reset();
			}
			this.from.request().reset();
			return;
		}
		if (!this.omitted && this.stored.length() + buffer.length() <= this.maxStoredBytes) {
			this.stored.appendBuffer(buffer);
		}
		else {
			this.omitted = true;
		}
		if (!open()) {
			this.undeliveredBytes += buffer.length();
			if (this.undeliveredBytes > MAX_UNDELIVERED_BYTES && promise.tryFail("the answer does not end")) {
				this.from.request().reset();
			}
			return;
		}
		this.to.write(buffer);
		if (this.to.writeQueueFull()) {
			this.from.pause();
			this.to.drainHandler((drained) -> this.from.resume());
		}
	}

	private boolean open() {
		return !this.to.closed() && !this.to.ended();
	}

	private StoredAnswer toStoredAnswer() {
		return StoredAnswer.newBuilder()
			.setStatus(this.from.statusCode())
			.putAllHeaders(ForwardedHeaders.toRecordedHeaders(this.from.headers()))
			.setBody(this.omitted ? ByteString.EMPTY : ByteString.copyFrom(this.stored.getBytes()))
			.setBodyOmitted(this.omitted)
			.build();
	}

}
