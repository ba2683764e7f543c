package io.balsamlane.router.service;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Body of a caller's request. The start of the body is buffered; the rest is streamed
 * once with backpressure.
 */
final class CallBody {

	private final HttpServerRequest request;

	private final int maxBufferedBytes;

	private final Buffer buffered = Buffer.buffer();

	private boolean complete;

	private boolean consumed;

	private CallBody(HttpServerRequest request, int maxBufferedBytes) {
		this.request = request;
		this.maxBufferedBytes = maxBufferedBytes;
	}

	/**
	 * Read the start of a body, and pause the request if the body exceeds the maximum
	 * buffered length.
	 * @param request the request
	 * @param maxBufferedBytes length beyond which no more data is buffered, in bytes
	 * @return the body; fails if the caller's connection breaks
	 */
	static Future<CallBody> read(HttpServerRequest request, int maxBufferedBytes) {
		CallBody body = new CallBody(request, maxBufferedBytes);
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
		if (this.buffered.length() > this.maxBufferedBytes) {
			// The call was answered without the rest of its body, which is discarded.
			return;
		}
		this.buffered.appendBuffer(buffer);
		if (this.buffered.length() > this.maxBufferedBytes) {
			this.request.pause();
			promise.tryComplete(this);
		}
	}

	Buffer buffered() {
		return this.buffered;
	}

	/**
	 * Return the part of the body that identifies a call. The buffer may also hold bytes
	 * beyond this part, whose number depends on how the network delivers the body.
	 * @return the start of the body, no longer than the maximum buffered length
	 */
	Buffer prefix() {
		return this.buffered.slice(0, Math.min(this.buffered.length(), this.maxBufferedBytes));
	}

	boolean complete() {
		return this.complete;
	}

	/**
	 * Return whether the body can be sent again.
	 * @return true if the body is buffered completely, or nothing beyond the buffered
	 * part has been read
	 */
	boolean repeatable() {
		return this.complete || !this.consumed;
	}

	/**
	 * Read and drop the rest of a body that is not forwarded. A caller that sends its
	 * whole body before it reads the answer would otherwise block.
	 */
	void discard() {
		if (!this.complete && !this.consumed) {
			this.request.resume();
		}
	}

	/**
	 * Send the body and end the request to the replica. If the caller breaks off its
	 * upload, the request is left without its end, because the replica would otherwise
	 * run a truncated call.
	 * @param outgoing the request to the replica
	 * @return a future that completes when the request has been ended
	 */
	Future<Void> sendTo(HttpClientRequest outgoing) {
		if (this.complete) {
			outgoing.headers().remove("content-length");
			return (this.buffered.length() == 0) ? outgoing.end() : outgoing.end(this.buffered.copy());
		}
		this.consumed = true;
		if (outgoing.headers().get("content-length") == null) {
			outgoing.setChunked(true);
		}
		outgoing.write(this.buffered);
		Promise<Void> sent = Promise.promise();
		// Vert.x reports the end of a connection only to a request whose response has not
		// ended.
		ChannelFuture closing = ((ConnectionBase) this.request.connection()).channel().closeFuture();
		ChannelFutureListener onClose = (closed) -> {
			if (!this.request.isEnded()) {
				sent.tryFail("the caller closed the connection");
			}
		};
		closing.addListener(onClose);
		this.request.pipe().endOnFailure(false).endOnSuccess(false).to(outgoing).onComplete((result) -> {
			closing.removeListener(onClose);
			if (result.failed()) {
				sent.tryFail(result.cause());
			}
			else if (sent.tryComplete()) {
				outgoing.end();
			}
		});
		return sent.future();
	}

}
