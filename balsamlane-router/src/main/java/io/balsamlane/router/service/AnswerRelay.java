package io.balsamlane.router.service;

import com.google.protobuf.ByteString;
import io.balsamlane.schema.StoredAnswer;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;

/**
 * Streams the answer of a replica to the caller with backpressure and keeps its first
 * bytes for the record. It reads on when the caller has gone, so that the outcome of a
 * non-repeatable call is still learned.
 */
final class AnswerRelay {

	private final HttpClientResponse from;

	private final HttpServerResponse to;

	private final int maxKeptBytes;

	private final Buffer kept = Buffer.buffer();

	private boolean omitted;

	private AnswerRelay(HttpClientResponse from, HttpServerResponse to, int maxKeptBytes) {
		this.from = from;
		this.to = to;
		this.maxKeptBytes = maxKeptBytes;
	}

	/**
	 * Streams an answer.
	 * @param from the answer, paused
	 * @param to the response to the caller
	 * @param maxKeptBytes most bytes of the body that are kept
	 * @return the kept answer, once the replica has sent all; fails if it breaks off
	 */
	static Future<StoredAnswer> relay(HttpClientResponse from, HttpServerResponse to, int maxKeptBytes) {
		AnswerRelay relay = new AnswerRelay(from, to, maxKeptBytes);
		Promise<StoredAnswer> promise = Promise.promise();
		relay.start(promise);
		return promise.future();
	}

	private void start(Promise<StoredAnswer> promise) {
		this.to.setStatusCode(this.from.statusCode());
		ForwardedHeaders.copyAnswer(this.from.headers(), this.to.headers());
		boolean withoutBody = this.from.request().getMethod() == HttpMethod.HEAD || this.from.statusCode() == 204
				|| this.from.statusCode() == 304;
		if (!withoutBody && this.from.getHeader("content-length") == null) {
			this.to.setChunked(true);
		}
		this.from.handler(this::receive);
		this.from.exceptionHandler((cause) -> {
			if (promise.tryFail(cause) && open()) {
				// The caller must see that the answer is not complete.
				this.to.reset();
			}
		});
		this.from.endHandler((ended) -> {
			promise.tryComplete(stored());
			if (open()) {
				this.to.end();
			}
		});
		this.to.closeHandler((closed) -> this.from.resume());
		this.from.resume();
	}

	private void receive(Buffer buffer) {
		if (!this.omitted && this.kept.length() + buffer.length() <= this.maxKeptBytes) {
			this.kept.appendBuffer(buffer);
		}
		else {
			this.omitted = true;
		}
		if (!open()) {
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

	private StoredAnswer stored() {
		return StoredAnswer.newBuilder()
			.setStatus(this.from.statusCode())
			.putAllHeaders(ForwardedHeaders.recorded(this.from.headers()))
			.setBody(this.omitted ? ByteString.EMPTY : ByteString.copyFrom(this.kept.getBytes()))
			.setBodyOmitted(this.omitted)
			.build();
	}

}
