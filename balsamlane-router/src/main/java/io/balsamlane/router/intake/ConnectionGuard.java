package io.balsamlane.router.intake;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.forwarding.CallerLimits;
import io.balsamlane.core.memory.MemoryBudget;
import io.balsamlane.router.edge.ErrorKind;
import io.balsamlane.router.edge.Ran;
import io.balsamlane.router.edge.Refusal;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Limits of one connection of a caller. It follows the requests and responses of the
 * connection, accounts for their memory, and refuses or closes what exceeds a limit.
 */
final class ConnectionGuard extends ChannelDuplexHandler {

	/**
	 * Estimated heap of a decoded header line in the request and in its forwarded copy,
	 * besides its characters, in bytes: two map entries, three strings.
	 */
	private static final int HEADER_LINE_COST = 256;

	/** Estimated heap of a request and its exchange, in bytes. */
	private static final int REQUEST_COST = 2048;

	/** A caller sends at most an empty line between two requests. */
	private static final int MAX_EMPTY_BYTES = 1024;

	/**
	 * Estimated heap of a byte of chunk extensions and trailers: that of a trailer line
	 * of three bytes.
	 */
	private static final int EXCESS_BYTE_COST = HEADER_LINE_COST / 3;

	/** Size of a chunk's lines that does not count as extension: size and line ends. */
	private static final int CHUNK_LINES_BYTES = 24;

	/** Time within which a body has to advance, in milliseconds. */
	private static final int BODY_CHECK_MILLIS = 5000;

	/** Pace below which a body has stopped arriving, in bytes a second. */
	private static final int MIN_BODY_BYTES_PER_SECOND = 1024;

	/** More unanswered requests on one connection than any client pipelines. */
	private static final int MAX_UNANSWERED = 64;

	/**
	 * Time between a refusal and the end of the connection, in milliseconds. Closing it
	 * while data arrives would reset it before the caller has read the response.
	 */
	private static final int CLOSE_DELAY_MILLIS = 1000;

	private final CallerGuard owner;

	private final Channel channel;

	private final String address;

	/** Accounts of the heads of requests without a complete response, oldest first. */
	private final Deque<MemoryBudget.Account> unanswered = new ArrayDeque<>();

	private MemoryBudget.Account headAccount;

	private MemoryBudget.Account excessAccount;

	private Future<?> timer;

	private RequestBodyReader reader;

	private boolean inBody;

	private long bodyBytes;

	private long checkedBodyBytes;

	private long framingBytes;

	private long chunks;

	private boolean refused;

	ConnectionGuard(CallerGuard owner, Channel channel, String address) {
		this.owner = owner;
		this.channel = channel;
		this.address = address;
	}

	boolean isRefused() {
		return this.refused;
	}

	boolean isIdle() {
		return this.unanswered.isEmpty() && !this.inBody;
	}

	/**
	 * Check the head of a request before it is decoded.
	 * @param head counts of all bytes received
	 * @return false if the connection is being closed
	 */
	boolean headArrives(RequestHeadCounter head) {
		CallerLimits limits = this.owner.limits();
		if (head.totalBytes() == 0) {
			return true;
		}
		if (this.headAccount == null) {
			this.headAccount = this.owner.budget()
				.openArriving(this.address, 4L * limits.maxHeaderBytes(), this::refuseForMemory);
			schedule(this::headTimedOut, limits.headerTimeoutMillis());
		}
		if (head.emptyBytes() > MAX_EMPTY_BYTES) {
			close("empty-lines");
			return false;
		}
		if (head.limitedBytes() > limits.maxHeaderBytes()) {
			refuse("head-too-large", Refusal.of(ErrorKind.HEADERS_TOO_LARGE, Ran.NO,
					"the request head exceeds " + limits.maxHeaderBytes() + " bytes"));
			return false;
		}
		long cost = REQUEST_COST + 2L * head.totalBytes() + (long) HEADER_LINE_COST * head.lines();
		if (!this.headAccount.tryReserve(cost - this.headAccount.heldBytes())) {
			refuseForMemory();
			return false;
		}
		return true;
	}

	private void headTimedOut() {
		if (this.channel.config().isAutoRead()) {
			close("head-too-slow");
		}
		else {
			// The rest of the head is not read while earlier requests are in progress.
			schedule(this::headTimedOut, this.owner.limits().headerTimeoutMillis());
		}
	}

	void headEnded(boolean bodyFollows, boolean malformed) {
		cancelTimer();
		if (this.headAccount != null) {
			this.headAccount.settle();
			this.unanswered.add(this.headAccount);
			this.headAccount = null;
		}
		this.owner.active(this);
		this.inBody = bodyFollows;
		if (malformed) {
			// The decoder discards what follows. The request is answered.
			this.owner.count("malformed");
			this.refused = true;
			closeSoon();
		}
		else if (this.unanswered.size() > MAX_UNANSWERED) {
			close("too-many-pipelined");
		}
		else if (bodyFollows) {
			this.reader = null;
			this.bodyBytes = 0;
			this.checkedBodyBytes = 0;
			this.framingBytes = 0;
			this.chunks = 0;
			schedule(this::checkBody, BODY_CHECK_MILLIS);
		}
	}

	/**
	 * Record the reader of the body that is arriving.
	 * @param bodyReader the reader, which refuses the request if the body breaks a limit
	 */
	void bodyRead(RequestBodyReader bodyReader) {
		this.reader = bodyReader;
	}

	/**
	 * Check a part of a body.
	 * @param contentBytes number of bytes of content
	 * @param otherBytes number of bytes of chunk sizes, extensions and trailers
	 * @param undecodedBytes number of bytes of an incomplete line
	 * @return false if the connection is being closed
	 */
	boolean bodyArrives(int contentBytes, int otherBytes, int undecodedBytes) {
		this.bodyBytes += contentBytes;
		this.framingBytes += otherBytes;
		this.chunks += (contentBytes > 0) ? 1 : 0;
		CallerLimits limits = this.owner.limits();
		long excess = this.framingBytes + undecodedBytes - CHUNK_LINES_BYTES * (this.chunks + 1);
		if (excess > limits.maxHeaderBytes()) {
			refuseBody("chunk-lines-too-large", "chunk extensions and trailers exceed the limit of this router");
		}
		else if (excess > 0 && !reserveExcess(excess, limits)) {
			refuseBody("memory", "requests exceed the memory limit of this router");
		}
		else if (this.reader == null && this.bodyBytes > limits.maxBodyBytes()) {
			close("body-too-large");
		}
		return !this.refused;
	}

	private boolean reserveExcess(long excess, CallerLimits limits) {
		if (this.excessAccount == null) {
			this.excessAccount = this.owner.budget()
				.openArriving(this.address, (long) EXCESS_BYTE_COST * limits.maxHeaderBytes(),
						() -> refuseBody("memory", "requests exceed the memory limit of this router"));
		}
		long missing = excess * EXCESS_BYTE_COST - this.excessAccount.heldBytes();
		return missing <= 0 || this.excessAccount.tryReserve(missing);
	}

	void bodyEnded() {
		cancelTimer();
		releaseExcess();
		this.inBody = false;
		this.reader = null;
		becomeIdleIfAnswered();
	}

	private void checkBody() {
		long minBytes = MIN_BODY_BYTES_PER_SECOND * BODY_CHECK_MILLIS / 1000;
		boolean advanced = this.reader != null && this.bodyBytes - this.checkedBodyBytes >= minBytes;
		// While reading is suspended, the body cannot advance. A body that nobody reads
		// belongs to a request that has been refused.
		if (this.channel.config().isAutoRead() && !advanced) {
			refuseBody("body-too-slow", "the request body has stopped arriving");
			return;
		}
		this.checkedBodyBytes = this.bodyBytes;
		schedule(this::checkBody, BODY_CHECK_MILLIS);
	}

	private void refuseBody(String reason, String detail) {
		if (this.refused) {
			return;
		}
		this.owner.count(reason);
		this.refused = true;
		if (this.reader != null) {
			this.reader.refuse(detail);
		}
		releaseExcess();
		discardDecoded();
		closeSoon();
	}

	private void refuseForMemory() {
		refuse("memory", Refusal.withRetry(ErrorKind.TOO_MANY_REQUESTS, Ran.NO,
				"requests exceed the memory limit of this router", CallerGuard.RETRY_AFTER_MILLIS));
	}

	// Sends a response without the HTTP server, which has not received the request.
	private void refuse(String reason, Refusal refusal) {
		if (this.refused) {
			return;
		}
		this.owner.count(reason);
		this.refused = true;
		releaseHead();
		discardDecoded();
		if (this.unanswered.isEmpty()) {
			byte[] body = refusal.toJson().encode().getBytes(StandardCharsets.UTF_8);
			String head = "HTTP/1.1 " + refusal.status() + " Refused\r\nContent-Type: application/problem+json\r\n"
					+ "Connection: close\r\nContent-Length: " + body.length + "\r\n"
					+ ((refusal.retryAfterMillis() > 0)
							? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", refusal.retryAfterMillis() / 1e3)
							: "")
					+ "\r\n";
			this.channel.pipeline()
				.context(LimitedRequestDecoder.class)
				.writeAndFlush(Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.ISO_8859_1), body));
		}
		closeSoon();
	}

	/**
	 * Close the connection at once.
	 * @param reason the reason, for the metrics
	 */
	void close(String reason) {
		this.owner.count(reason);
		this.refused = true;
		releaseHead();
		this.channel.close();
	}

	/**
	 * Close the connection soon. What arrives until then is discarded.
	 */
	void closeSoon() {
		cancelTimer();
		this.channel.eventLoop().schedule(() -> this.channel.close(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void discardDecoded() {
		ChannelHandlerContext decoder = this.channel.pipeline().context(LimitedRequestDecoder.class);
		if (decoder != null) {
			((LimitedRequestDecoder) decoder.handler()).discard(decoder);
		}
	}

	private void releaseExcess() {
		if (this.excessAccount != null) {
			this.excessAccount.close();
			this.excessAccount = null;
		}
	}

	private void releaseHead() {
		if (this.headAccount != null) {
			this.headAccount.close();
			this.headAccount = null;
		}
	}

	private void schedule(Runnable action, long millis) {
		cancelTimer();
		this.timer = this.channel.eventLoop().schedule(action, millis, TimeUnit.MILLISECONDS);
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
		boolean interim = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		super.write(context, message, promise);
		if (message instanceof LastHttpContent && !interim) {
			MemoryBudget.Account answered = this.unanswered.poll();
			if (answered != null) {
				answered.close();
			}
			becomeIdleIfAnswered();
		}
	}

	private void becomeIdleIfAnswered() {
		if (isIdle()) {
			this.owner.idle(this);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		cancelTimer();
		releaseHead();
		releaseExcess();
		this.unanswered.forEach(MemoryBudget.Account::close);
		this.unanswered.clear();
		this.owner.closed(this);
		super.channelInactive(context);
	}

}
