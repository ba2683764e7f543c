package io.balsamlane.router.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerError;
import io.balsamlane.schema.PeerMessage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Listener that accepts calls of other routers and dispatches them to the registered
 * handlers.
 */
final class PeerListener {

	private static final int MAX_CONNECTIONS = 1_024;

	private static final int MAX_REQUESTS_IN_PROGRESS = 1_024;

	/**
	 * Twice the idle timeout of the caller, which normally closes the connection first.
	 */
	private static final int IDLE_SECONDS = 60;

	/**
	 * Limit that applies until a connection has proved knowledge of the key by a first
	 * authenticated frame.
	 */
	private static final int MAX_FIRST_FRAME_BYTES = 65_536;

	private final Map<PeerMessage.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();

	private final Set<Channel> connections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger inProgress = new AtomicInteger();

	private final PeerCodec codec;

	private final RejectionLog rejections;

	private final Timeline timeline;

	private final Context context;

	private final Supplier<NodeId> self;

	private final int maxFrameBytes;

	private Channel channel;

	PeerListener(PeerCodec codec, RejectionLog rejections, Timeline timeline, Context context, Supplier<NodeId> self,
			int maxFrameBytes) {
		this.codec = codec;
		this.rejections = rejections;
		this.timeline = timeline;
		this.context = context;
		this.self = self;
		this.maxFrameBytes = maxFrameBytes;
	}

	void register(PeerMessage.BodyCase body, PeerHandler handler) {
		this.handlers.put(body, handler);
	}

	ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel created) {
					accept(created);
				}
			})
			.bind(address);
		this.channel = bound.channel();
		return bound;
	}

	private void accept(Channel created) {
		if (this.connections.size() >= MAX_CONNECTIONS) {
			this.rejections.record(RejectionLog.Reason.BUSY, created.remoteAddress());
			created.close();
			return;
		}
		this.connections.add(created);
		created.closeFuture().addListener((closed) -> this.connections.remove(created));
		created.pipeline()
			.addLast(new IdleStateHandler(IDLE_SECONDS, 0, 0))
			.addLast(decoder(Math.min(MAX_FIRST_FRAME_BYTES, this.maxFrameBytes)))
			.addLast(new Handler());
	}

	private static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
		return new LengthFieldBasedFrameDecoder(maxBytes, 0, 4, 0, 4);
	}

	void close() {
		if (this.channel != null) {
			this.channel.close();
		}
		this.connections.forEach(Channel::close);
	}

	/**
	 * Dispatch a message to its handler.
	 * @param message the message
	 * @return the reply, which is an error if there is no handler or the handler failed;
	 * the future itself never fails
	 */
	Future<PeerMessage.Builder> handle(PeerMessage message) {
		PeerHandler handler = this.handlers.get(message.getBodyCase());
		if (handler == null) {
			return Future.succeededFuture(error("no-handler", message.getBodyCase().name()));
		}
		if (this.inProgress.incrementAndGet() > MAX_REQUESTS_IN_PROGRESS) {
			this.inProgress.decrementAndGet();
			return Future.succeededFuture(error("busy", MAX_REQUESTS_IN_PROGRESS + " messages are in progress"));
		}
		Promise<PeerMessage.Builder> reply = Promise.promise();
		this.context.runOnContext((nothing) -> run(handler, message).onComplete((result) -> {
			this.inProgress.decrementAndGet();
			reply.complete(result.succeeded() ? result.result()
					: error("failed", String.valueOf(result.cause().getMessage())));
		}));
		return reply.future();
	}

	private static Future<PeerMessage.Builder> run(PeerHandler handler, PeerMessage message) {
		try {
			return handler.handle(message.getFrom(), message);
		}
		catch (RuntimeException ex) {
			return Future.failedFuture(ex);
		}
	}

	private static PeerMessage.Builder error(String kind, String message) {
		return PeerMessage.newBuilder().setError(PeerError.newBuilder().setKind(kind).setMessage(message));
	}

	private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {

		private boolean authenticated;

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			PeerListener listener = PeerListener.this;
			listener.codec.decodeMessage(frame, context.channel().remoteAddress()).ifPresentOrElse((message) -> {
				if (!listener.codec.checkVersion(message.getProtocolVersion(), context.channel().remoteAddress())) {
					write(context.channel(), message.getCallId(),
							error("unsupported-version", "this router speaks version " + PeerCodec.PROTOCOL_VERSION))
						.addListener((written) -> context.close());
					return;
				}
				if (!this.authenticated) {
					this.authenticated = true;
					context.pipeline()
						.replace(LengthFieldBasedFrameDecoder.class, "decoder", decoder(listener.maxFrameBytes));
				}
				listener.timeline.observe(message.getHybridTime());
				if (message.getCallId() != 0) {
					listener.handle(message)
						.onSuccess((reply) -> context.channel()
							.eventLoop()
							.execute(() -> write(context.channel(), message.getCallId(), reply)));
				}
			}, context::close);
		}

		private ChannelFuture write(Channel to, long callId, PeerMessage.Builder reply) {
			PeerListener listener = PeerListener.this;
			return to.writeAndFlush(listener.codec.encode(reply.setProtocolVersion(PeerCodec.PROTOCOL_VERSION)
				.setCallId(callId)
				.setReply(true)
				.setFrom(listener.self.get())
				.setHybridTime(listener.timeline.now())
				.build()));
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			// Stops reading requests from a peer that does not read its replies.
			context.channel().config().setAutoRead(context.channel().isWritable());
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent) {
				context.close();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (cause instanceof TooLongFrameException) {
				PeerListener.this.rejections.record(RejectionLog.Reason.OVERSIZED, context.channel().remoteAddress());
			}
			context.close();
		}

	}

}
