package io.balsamlane.router.service;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;

/**
 * Body of a caller's request: its first bytes are kept, the rest is streamed once with
 * backpressure.
 */
final class CallBody {

	private final HttpServerRequest request;

	private final int maxKeptBytes;

	private final Buffer kept = Buffer.buffer();

	private boolean complete;

	private boolean consumed;

	private CallBody(HttpServerRequest request, int maxKeptBytes) {
		this.request = request;
		this.maxKeptBytes = maxKeptBytes;
	}

	/**
	 * Reads the first bytes of a body and pauses the request if more follow.
	 * @param request the request
	 * @param maxKeptBytes bytes after which no more are kept
	 * @return the body; fails if the caller's connection breaks
	 */
	static Future<CallBody> read(HttpServerRequest request, int maxKeptBytes) {
		CallBody body = new CallBody(request, maxKeptBytes);
		Promise<CallBody> promise = Promise.promise();
		request.exceptionHandler(promise::tryFail);
		request.handler((buffer) -> body.receive(buffer, promise));
		request.endHandler((ended) -> {
			body.complete = true;
			promise.tryComplete(body);
		});
		return promise.future();
	}

	private void receive(Buffer buffer, Promise<CallBody> promise) {
		if (this.kept.length() > this.maxKeptBytes) {
			// The call was answered without the rest of its body.
			return;
		}
		this.kept.appendBuffer(buffer);
		if (this.kept.length() > this.maxKeptBytes) {
			this.request.pause();
			promise.tryComplete(this);
		}
	}

	Buffer kept() {
		return this.kept;
	}

	/**
	 * Returns the part that identifies a call with a longer body. How many bytes arrive
	 * beyond it depends on the network.
	 * @return the first bytes, as many as are kept at most
	 */
	Buffer prefix() {
		return this.kept.slice(0, Math.min(this.kept.length(), this.maxKeptBytes));
	}

	boolean complete() {
		return this.complete;
	}

	/**
	 * Tells whether the body can be sent again.
	 * @return true if all of it is kept or nothing beyond the kept part was read
	 */
	boolean repeatable() {
		return this.complete || !this.consumed;
	}

	/**
	 * Reads and drops the rest of a body that no replica gets. A caller may send its
	 * whole body before it reads the answer.
	 */
	void discard() {
		if (!this.complete && !this.consumed) {
			this.request.resume();
		}
	}

	/**
	 * Sends the body.
	 * @param outgoing the request to the replica
	 * @return completes when all is sent
	 */
	Future<Void> sendTo(HttpClientRequest outgoing) {
		if (this.complete) {
			outgoing.headers().remove("content-length");
			return (this.kept.length() == 0) ? outgoing.end() : outgoing.end(this.kept.copy());
		}
		this.consumed = true;
		if (outgoing.headers().get("content-length") == null) {
			outgoing.setChunked(true);
		}
		outgoing.write(this.kept);
		return this.request.pipeTo(outgoing);
	}

}
