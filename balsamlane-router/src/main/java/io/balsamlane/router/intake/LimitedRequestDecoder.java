package io.balsamlane.router.intake;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Decoder of requests that counts what it receives before it is decoded, and discards
 * what follows a refusal. Bytes of a body that are not content are chunk sizes, chunk
 * extensions and trailers.
 */
final class LimitedRequestDecoder extends VertxHttpRequestDecoder {

	private final ConnectionGuard guard;

	private RequestHeadCounter head = new RequestHeadCounter();

	/** Number of bytes that are counted but not yet consumed by the decoder. */
	private int countedAhead;

	private boolean inBody;

	LimitedRequestDecoder(HttpServerOptions options, ConnectionGuard guard) {
		super(options);
		this.guard = guard;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		if (this.guard.isRefused()) {
			in.skipBytes(in.readableBytes());
		}
		else if (this.inBody) {
			decodeBody(context, in, out);
		}
		else {
			decodeHead(context, in, out);
		}
	}

	/**
	 * Drop what has been decoded of a message that is not complete.
	 * @param context context of this decoder
	 */
	void discard(ChannelHandlerContext context) {
		reset();
		try {
			// The decoder resets itself when it is called the next time.
			super.decode(context, Unpooled.EMPTY_BUFFER, new ArrayList<>());
		}
		catch (Exception ex) {
			context.close();
		}
	}

	private void decodeHead(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		this.countedAhead += this.head.count(in, in.readerIndex() + this.countedAhead);
		if (!this.guard.headArrives(this.head)) {
			in.skipBytes(in.readableBytes());
			return;
		}
		int start = in.readerIndex();
		int known = out.size();
		super.decode(context, in, out);
		this.countedAhead = Math.max(0, this.countedAhead - (in.readerIndex() - start));
		if (out.size() > known) {
			this.countedAhead = 0;
			this.head = new RequestHeadCounter();
			this.inBody = !(out.get(out.size() - 1) instanceof LastHttpContent);
			boolean malformed = ((HttpObject) out.get(known)).decoderResult().isFailure();
			this.guard.headEnded(this.inBody, malformed);
		}
	}

	private void decodeBody(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		int start = in.readerIndex();
		int known = out.size();
		super.decode(context, in, out);
		int consumed = in.readerIndex() - start;
		int contentBytes = 0;
		for (Object message : out.subList(known, out.size())) {
			contentBytes += (message instanceof HttpContent content) ? content.content().readableBytes() : 0;
			this.inBody &= !(message instanceof LastHttpContent);
		}
		// Bytes that the decoder leaves are the beginning of a line.
		int undecoded = (consumed == 0) ? in.readableBytes() : 0;
		if (!this.guard.bodyArrives(contentBytes, consumed - contentBytes, undecoded)) {
			in.skipBytes(in.readableBytes());
		}
		if (!this.inBody) {
			this.guard.bodyEnded();
		}
	}

}
