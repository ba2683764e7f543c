package io.balsamlane.router.intake;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.balsamlane.core.memory.MemoryBudget;
import io.balsamlane.router.edge.ErrorKind;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.internal.buffer.BufferInternal;

/**
 * Reads the body of a request into segments whose memory is reserved before they are
 * allocated. A body that is refused gives its memory back at once; what still arrives of
 * it is discarded.
 */
public final class RequestBodyReader {

	private static final int MIN_SEGMENT_BYTES = 512;

	private static final int MAX_SEGMENT_BYTES = 64 << 10;

	private final Vertx vertx;

	private final CallerGuard guard;

	private final long maxBodyBytes;

	private final Consumer<Buffer> whole;

	private final Consumer<Refusal> refused;

	private final MemoryBudget.Account account;

	private final long timer;

	private final List<ByteBuf> segments = new ArrayList<>();

	private long length;

	private boolean ended;

	private RequestBodyReader(Vertx vertx, CallerGuard guard, HttpServerRequest request, long maxBodyBytes,
			long limitMillis, Consumer<Buffer> whole, Consumer<Refusal> refused) {
		this.vertx = vertx;
		this.guard = guard;
		this.maxBodyBytes = maxBodyBytes;
		this.whole = whole;
		this.refused = refused;
		this.account = guard.budget()
			.openArriving(request.remoteAddress().hostAddress(), expectedBytes(request, maxBodyBytes),
					() -> refuse("memory", "request bodies exceed the memory limit of this router"));
		this.timer = vertx.setTimer(Math.max(1, limitMillis),
				(id) -> refuse("body-too-late", "the request body was not complete within the time limit"));
	}

	/**
	 * Read the body of a request.
	 * @param vertx the event loop
	 * @param guard the limits of callers
	 * @param request the request
	 * @param maxBodyBytes maximum size of the body, in bytes
	 * @param limitMillis time limit, in milliseconds
	 * @param whole receives the body
	 * @param refused receives the error response if the body is not read
	 * @return the reader
	 */
	public static RequestBodyReader read(Vertx vertx, CallerGuard guard, HttpServerRequest request, long maxBodyBytes,
			long limitMillis, Consumer<Buffer> whole, Consumer<Refusal> refused) {
		RequestBodyReader reader = new RequestBodyReader(vertx, guard, request, maxBodyBytes, limitMillis, whole,
				refused);
		guard.bodyStarted(request, reader);
		request.handler(reader::received);
		request.endHandler((end) -> reader.complete());
		return reader;
	}

	private static long expectedBytes(HttpServerRequest request, long maxBodyBytes) {
		try {
			String length = request.getHeader("Content-Length");
			return (length != null) ? Math.min(maxBodyBytes, Long.parseLong(length)) : maxBodyBytes;
		}
		catch (NumberFormatException ex) {
			return maxBodyBytes;
		}
	}

	private void received(Buffer chunk) {
		if (this.ended) {
			return;
		}
		if (this.length + chunk.length() > this.maxBodyBytes) {
			this.guard.count("body-too-large");
			end(Refusal.of(ErrorKind.BODY_TOO_LARGE, Ran.NO,
					"the request body exceeds " + this.maxBodyBytes + " bytes"));
			return;
		}
		ByteBuf bytes = ((BufferInternal) chunk).getByteBuf();
		while (bytes.isReadable()) {
			ByteBuf last = this.segments.isEmpty() ? Unpooled.EMPTY_BUFFER
					: this.segments.get(this.segments.size() - 1);
			if (!last.isWritable()) {
				last = addSegment(bytes.readableBytes());
				if (last == null) {
					refuse("memory", "request bodies exceed the memory limit of this router");
					return;
				}
			}
			int count = Math.min(last.writableBytes(), bytes.readableBytes());
			last.writeBytes(bytes, count);
			this.length += count;
		}
	}

	// Segments grow with the body, so that neither many small chunks nor a body that
	// stops early occupy much more memory than their bytes.
	private ByteBuf addSegment(int neededBytes) {
		long preferred = Math.max(neededBytes, Math.max(MIN_SEGMENT_BYTES, this.length));
		int capacity = (int) Math.min(Math.min(preferred, MAX_SEGMENT_BYTES), this.maxBodyBytes - this.length);
		if (!this.account.tryReserve(capacity) || this.ended) {
			return null;
		}
		ByteBuf segment = Unpooled.buffer(capacity, capacity);
		this.segments.add(segment);
		return segment;
	}

	private void complete() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.vertx.cancelTimer(this.timer);
		this.account.settle();
		ByteBuf body = Unpooled.wrappedBuffer(this.segments.size() + 1, this.segments.toArray(ByteBuf[]::new));
		// The client releases what it has written, but a request may be sent again.
		this.whole.accept(BufferInternal.buffer(Unpooled.unreleasableBuffer(body)));
	}

	/**
	 * Refuse the request unless its body is complete.
	 * @param detail the reason
	 */
	void refuse(String detail) {
		end(Refusal.withRetry(ErrorKind.TOO_MANY_REQUESTS, Ran.NO, detail, CallerGuard.RETRY_AFTER_MILLIS));
	}

	private void refuse(String reason, String detail) {
		if (!this.ended) {
			this.guard.count(reason);
			refuse(detail);
		}
	}

	private void end(Refusal refusal) {
		if (!this.ended) {
			close();
			this.refused.accept(refusal);
		}
	}

	/**
	 * Give back the memory of the body, which is not used any more.
	 */
	public void close() {
		this.ended = true;
		this.vertx.cancelTimer(this.timer);
		this.segments.clear();
		this.account.close();
	}

}
