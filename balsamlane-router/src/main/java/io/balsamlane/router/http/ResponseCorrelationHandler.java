package io.balsamlane.router.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientOptions;

/**
 * Attributes the responses on one HTTP/1.1 connection, which carries one request at a
 * time, to its requests, and discards those that belong to no request in progress. A
 * response with an invalid status line or framing is passed on as a decoder failure, and
 * its connection is closed. A body that ends with the connection has no end if the
 * connection failed.
 */
final class ResponseCorrelationHandler extends ChannelDuplexHandler {

	/** Maximum size of a discarded response. */
	private static final int MAX_DISCARDED_BYTES = 1 << 20;

	/**
	 * Time that a request waits for its own response after one that cannot be shown to
	 * belong to an earlier request.
	 */
	private static final long OWN_RESPONSE_WAIT_MILLIS = 1000;

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d");

	/** The informational responses that Vert.x does not take for final ones. */
	private static final Set<Integer> PASSED_ON = Set.of(HttpResponseStatus.CONTINUE.code(),
			HttpResponseStatus.EARLY_HINTS.code());

	/** Number of requests whose ids are remembered. */
	private static final int MAX_CARRIED_IDS = 16;

	/** Interval at which a paused connection that is to be closed is checked. */
	private static final long PAUSED_CHECK_MILLIS = 20;

	private final Optional<String> idHeader;

	private final Supplier<String> ids;

	private final Consumer<UnmatchedResponse> listener;

	private final Consumer<ChannelHandlerContext> idleCloser;

	private int requests;

	private boolean requestInProgress;

	private boolean headRequest;

	private boolean headRequestSent;

	/** Whether bytes follow the end of a response in the same read. */
	private boolean trailingBytes;

	private List<String> expectedIds = List.of();

	private final Queue<String> carriedIds = new ConcurrentLinkedQueue<>();

	private volatile boolean retired;

	private boolean finalResponse;

	private boolean attributed;

	/** Whether the server has sent a response that was not attributed. */
	private volatile boolean unmatched;

	private boolean waitLimited;

	private int droppedInformational;

	/** Whether the body of the response in progress ends with the connection. */
	private boolean endsWithConnection;

	/**
	 * Whether the connection failed or is closed by this process. The system reports a
	 * reset only once: to a write of the request, or to the read.
	 */
	private boolean failed;

	private boolean discarding;

	private long discardedBytes;

	/**
	 * Create a handler.
	 * @param idHeader name of the header that carries the id of a request, if any
	 * @param ids generates the ids of requests that lack one
	 * @param listener notified of each response that cannot be attributed
	 * @param idleCloser takes the connection out of the client's pool, and closes it when
	 * no request is in progress
	 */
	ResponseCorrelationHandler(Optional<String> idHeader, Supplier<String> ids, Consumer<UnmatchedResponse> listener,
			Consumer<ChannelHandlerContext> idleCloser) {
		this.idHeader = idHeader;
		this.ids = ids;
		this.listener = listener;
		this.idleCloser = idleCloser;
	}

	/**
	 * Return a handler for the bytes of the connection, ahead of the HTTP codec, which
	 * closes the connection if any arrive between two requests.
	 * @return the handler
	 */
	ChannelInboundHandlerAdapter idleGuard() {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext context, Object bytes) {
				if (ResponseCorrelationHandler.this.requestInProgress) {
					context.fireChannelRead(bytes);
					return;
				}
				ReferenceCountUtil.release(bytes);
				closeUnsolicited(context, 0, Optional.empty());
			}
		};
	}

	/**
	 * Return a codec for the connection that detects bytes after the end of a response. A
	 * part of the head of another response would otherwise stay in the codec, and the
	 * next response would be read as the rest of it.
	 * @param options limits of the codec
	 * @return the codec
	 */
	ChannelHandler codec(HttpClientOptions options) {
		return new CombinedChannelDuplexHandler<>(new ResponseDecoder(options), new HttpRequestEncoder());
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest request) {
			if (this.retired || this.unmatched) {
				ReferenceCountUtil.release(message);
				promise.tryFailure(new IOException("The server sent bytes after its response"));
				context.close();
				return;
			}
			this.requests++;
			this.requestInProgress = true;
			this.attributed = false;
			this.headRequest = request.method().equals(HttpMethod.HEAD);
			this.headRequestSent |= this.headRequest;
			this.expectedIds = this.idHeader.map((header) -> idsOf(request, header)).orElse(List.of());
			this.expectedIds.forEach(this::remember);
		}
		ChannelPromise written = promise.unvoid();
		written.addListener((result) -> this.failed |= !result.isSuccess());
		context.write(message, written);
	}

	@Override
	public void close(ChannelHandlerContext context, ChannelPromise promise) {
		this.failed = true;
		context.close(promise);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.failed = true;
		context.fireExceptionCaught(cause);
	}

	private void remember(String id) {
		this.carriedIds.add(id);
		if (this.carriedIds.size() > MAX_CARRIED_IDS) {
			this.carriedIds.remove();
		}
	}

	/**
	 * Return whether the connection may carry a request. A second response to an earlier
	 * request with the same id could not be told from the response to this one.
	 * @param id id of the request
	 * @return false if the connection is about to be closed or has carried the id
	 */
	boolean mayCarry(String id) {
		return !this.retired && !this.unmatched && !this.carriedIds.contains(id);
	}

	// A caller may send several ids; a server may echo any of them.
	private List<String> idsOf(HttpRequest request, String header) {
		if (!request.headers().contains(header)) {
			request.headers().set(header, this.ids.get());
		}
		return request.headers().getAll(header);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse response) {
			headReceived(context, response);
		}
		if (this.discarding) {
			discard(context, (HttpObject) message);
			return;
		}
		if (message instanceof LastHttpContent && this.endsWithConnection && this.failed) {
			// Without the end of the response, the closed connection is its failure.
			ReferenceCountUtil.release(message);
			return;
		}
		if (message instanceof LastHttpContent && this.finalResponse) {
			this.requestInProgress = false;
			if (this.trailingBytes) {
				closeUnsolicited(context, 0, Optional.empty());
			}
		}
		context.fireChannelRead(message);
	}

	private void headReceived(ChannelHandlerContext context, HttpResponse response) {
		List<String> received = this.idHeader.map((header) -> response.headers().getAll(header)).orElse(List.of());
		if (!this.requestInProgress) {
			this.discarding = true;
			closeUnsolicited(context, response.status().code(), received.stream().findFirst());
			return;
		}
		this.endsWithConnection = false;
		if (response.decoderResult().isFailure()) {
			report(context, UnmatchedResponse.Reason.INVALID, response.status().code(), received.stream().findFirst());
			// Vert.x has to fail the request with the cause before the connection ends.
			context.executor().execute(context::close);
			return;
		}
		if (this.requests > 1 && containsStatusLine(response)) {
			this.discarding = true;
			report(context, UnmatchedResponse.Reason.MERGED, response.status().code(), received.stream().findFirst());
			context.close();
			return;
		}
		this.finalResponse = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
		if (!this.finalResponse) {
			this.discarding = !PASSED_ON.contains(response.status().code());
			if (this.discarding && (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
					|| ++this.droppedInformational > InformationalResponses.MAX_RESPONSES)) {
				context.close();
			}
			return;
		}
		Optional<UnmatchedResponse.Reason> reason = unmatchedReason(received);
		if (reason.isPresent()) {
			report(context, reason.get(), response.status().code(), received.stream().findFirst());
			discardResponse(context, response, !received.isEmpty() && this.carriedIds.containsAll(received));
			return;
		}
		this.attributed = true;
		this.endsWithConnection = !this.headRequest && !isSelfDelimited(response);
		// Vert.x recognises the option only if it is the only one.
		boolean closes = response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
		if (received.isEmpty() || this.unmatched || closes) {
			closeAfter(response);
		}
	}

	// The head of a second response that breaks off runs into the head of the next one.
	private static boolean containsStatusLine(HttpResponse response) {
		return STATUS_LINE.matcher(response.status().reasonPhrase()).find() || response.headers()
			.entries()
			.stream()
			.anyMatch((header) -> header.getKey().indexOf('/') >= 0 || STATUS_LINE.matcher(header.getValue()).find());
	}

	// Without an id, only the first response on a connection belongs to a known request.
	private Optional<UnmatchedResponse.Reason> unmatchedReason(List<String> received) {
		if (received.isEmpty()) {
			return (this.requests > 1 || this.unmatched) ? Optional.of(UnmatchedResponse.Reason.UNIDENTIFIED)
					: Optional.empty();
		}
		return this.expectedIds.containsAll(received) ? Optional.empty()
				: Optional.of(UnmatchedResponse.Reason.OTHER_REQUEST);
	}

	private void discardResponse(ChannelHandlerContext context, HttpResponse response, boolean ofEarlierRequest) {
		this.unmatched = true;
		this.discarding = true;
		this.discardedBytes = 0;
		// The end of such a response cannot be told from the response that follows it.
		if (!isSelfDelimited(response) || this.headRequestSent) {
			context.close();
		}
		else if (!ofEarlierRequest && !this.waitLimited) {
			this.waitLimited = true;
			context.executor().schedule(() -> {
				if (!this.attributed) {
					context.close();
				}
			}, OWN_RESPONSE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private static boolean isSelfDelimited(HttpResponse response) {
		int status = response.status().code();
		return status == 204 || status == 304 || HttpUtil.isTransferEncodingChunked(response)
				|| HttpUtil.isContentLengthSet(response);
	}

	private void discard(ChannelHandlerContext context, HttpObject message) {
		if (message instanceof HttpContent content) {
			this.discardedBytes += content.content().readableBytes();
			if (this.discardedBytes > MAX_DISCARDED_BYTES || message.decoderResult().isFailure()) {
				context.close();
			}
			this.discarding = !(message instanceof LastHttpContent);
		}
		ReferenceCountUtil.release(message);
	}

	// Vert.x closes the connection at the end of the response, instead of using it again.
	private static void closeAfter(HttpResponse response) {
		List<String> options = new ArrayList<>(List.of(HttpHeaderValues.CLOSE.toString()));
		options.addAll(response.headers().getAll(HttpHeaderNames.CONNECTION));
		response.headers().set(HttpHeaderNames.CONNECTION, options);
	}

	private void closeUnsolicited(ChannelHandlerContext context, int status, Optional<String> receivedId) {
		if (!this.retired) {
			this.retired = true;
			this.unmatched = true;
			report(context, UnmatchedResponse.Reason.UNSOLICITED, status, receivedId);
			closeUnlessPaused(context);
		}
	}

	// Vert.x drops what it has not delivered yet of a paused response when its connection
	// is closed.
	private void closeUnlessPaused(ChannelHandlerContext context) {
		if (context.channel().config().isAutoRead()) {
			this.idleCloser.accept(context);
		}
		else {
			context.executor().schedule(() -> closeUnlessPaused(context), PAUSED_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void report(ChannelHandlerContext context, UnmatchedResponse.Reason reason, int status,
			Optional<String> receivedId) {
		this.listener.accept(new UnmatchedResponse(String.valueOf(context.channel().remoteAddress()), reason, status,
				this.requestInProgress ? this.expectedIds.stream().findFirst() : Optional.empty(), receivedId,
				this.requests));
	}

	/**
	 * Decoder that reports whether bytes follow the end of a response, and that accepts
	 * only valid status lines and framings. The decoder of Netty skips characters before
	 * and between the words of a status line, accepts signs and any number of digits in
	 * the status, and prefers {@code Transfer-Encoding} to {@code Content-Length}.
	 *
	 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112#section-4">RFC 9112, sections
	 * 4 and 6</a>
	 */
	private final class ResponseDecoder extends HttpResponseDecoder {

		private static final String VERSION_PREFIX = "HTTP/1.";

		private static final int STATUS_START = VERSION_PREFIX.length() + 2;

		private static final int STATUS_END = STATUS_START + 3;

		private boolean headBegun;

		private boolean validStart;

		private int lengthHeaders;

		/** The bytes being decoded, and where the present line starts in them. */
		private ByteBuf line;

		private int lineStart;

		ResponseDecoder(HttpClientOptions options) {
			super(new HttpDecoderConfig().setMaxInitialLineLength(options.getMaxInitialLineLength())
				.setMaxHeaderSize(options.getMaxHeaderSize())
				.setMaxChunkSize(options.getMaxChunkSize())
				.setInitialBufferSize(options.getDecoderInitialBufferSize()));
		}

		@Override
		protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
			int before = messages.size();
			beginLine(bytes);
			super.decode(context, bytes, messages);
			if (messages.size() > before && messages.get(messages.size() - 1) instanceof LastHttpContent) {
				ResponseCorrelationHandler.this.trailingBytes = bytes.isReadable();
				this.headBegun = false;
			}
		}

		// Netty drops control characters before a status line at once, and reads the
		// line itself only as a whole.
		private void beginLine(ByteBuf bytes) {
			if (!this.headBegun && bytes.isReadable()) {
				this.headBegun = true;
				this.validStart = bytes.getByte(bytes.readerIndex()) == VERSION_PREFIX.charAt(0);
				this.lengthHeaders = 0;
			}
			this.line = bytes;
			this.lineStart = bytes.readerIndex();
		}

		@Override
		protected HttpMessage createMessage(String[] words) {
			if (!this.validStart || !isValidStatusLine()) {
				throw new IllegalArgumentException("invalid status line");
			}
			return super.createMessage(words);
		}

		private boolean isValidStatusLine() {
			return isText(0, VERSION_PREFIX) && (isText(STATUS_START - 2, "0 ") || isText(STATUS_START - 2, "1 "))
					&& isDigit(STATUS_START, '1') && isDigit(STATUS_START + 1, '0') && isDigit(STATUS_START + 2, '0')
					&& (isText(STATUS_END, " ") || isText(STATUS_END, "\r\n") || isText(STATUS_END, "\n"));
		}

		private boolean isText(int offset, String text) {
			for (int index = 0; index < text.length(); index++) {
				if (byteAt(offset + index) != text.charAt(index)) {
					return false;
				}
			}
			return true;
		}

		private boolean isDigit(int offset, char lowest) {
			return byteAt(offset) >= lowest && byteAt(offset) <= '9';
		}

		private int byteAt(int offset) {
			int index = this.lineStart + offset;
			return (index < this.line.writerIndex()) ? this.line.getByte(index) : -1;
		}

		// Netty uses the first of several lengths of an HTTP/1.0 response.
		@Override
		protected AsciiString splitHeaderName(byte[] bytes, int start, int length) {
			AsciiString name = super.splitHeaderName(bytes, start, length);
			if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
				this.lengthHeaders++;
			}
			return name;
		}

		// Called once for each head, before Netty resolves contradictions in its framing.
		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
			if (this.lengthHeaders > 1) {
				throw new IllegalArgumentException("several Content-Length headers");
			}
			if (!encodings.isEmpty()) {
				if (this.lengthHeaders > 0) {
					throw new IllegalArgumentException("Transfer-Encoding beside Content-Length");
				}
				if (encodings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0))
						|| !message.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
					throw new IllegalArgumentException("invalid Transfer-Encoding");
				}
			}
			return ResponseCorrelationHandler.this.headRequest || super.isContentAlwaysEmpty(message);
		}

	}

}
