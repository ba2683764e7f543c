package io.balsamlane.router.peer;

import java.net.ConnectException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.PeerError;
import io.balsamlane.schema.PeerMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Connection to one peer for the calls of this node. It is opened by the first call,
 * closed when idle, and used by the peer thread only.
 */
final class PeerConnection {

	/** Kinds of errors of a peer that certainly did not handle the message. */
	static final List<String> NOT_HANDLED = List.of("unsupported-version", "no-handler", "busy");

	private static final int MAX_OUTSTANDING = 1_024;

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int IDLE_SECONDS = 30;

	private final HostName host;

	private final Endpoint endpoint;

	private final Environment environment;

	private final Map<Long, Pending> pending = new LinkedHashMap<>();

	private Channel channel;

	private boolean closing;

	PeerConnection(HostName host, Endpoint endpoint, Environment environment) {
		this.host = host;
		this.endpoint = endpoint;
		this.environment = environment;
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	void call(PeerMessage message, long timeoutMillis, Consumer<PeerReply> completion) {
		if (this.closing || this.pending.size() >= MAX_OUTSTANDING) {
			completion.accept(new PeerReply.NotDelivered("too many calls to " + this.host + " are outstanding"));
			return;
		}
		Pending call = new Pending(message, completion);
		this.pending.put(message.getCallId(), call);
		call.timer = this.environment.eventLoop()
			.schedule(() -> expired(message.getCallId(), timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
		if (this.channel == null) {
			open();
		}
		else if (this.channel.isActive()) {
			write(call);
		}
	}

	private void open() {
		if (this.environment.blocked(this.endpoint)) {
			this.environment.eventLoop()
				.schedule(() -> abandon("no route"), CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		ChannelFuture opened = new Bootstrap().group(this.environment.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(this.environment.maxFrameBytes(), 2 * this.environment.maxFrameBytes()))
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel created) {
					created.pipeline()
						.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
						.addLast(new LengthFieldBasedFrameDecoder(PeerConnection.this.environment.maxFrameBytes(), 0, 4,
								0, 4))
						.addLast(new Handler());
				}
			})
			.connect(Addresses.of(this.endpoint));
		this.channel = opened.channel();
		opened.addListener((future) -> {
			if (future.isSuccess()) {
				// The listener accepts long frames only after a first short one.
				this.channel.writeAndFlush(this.environment.codec().encode(this.environment.envelope().build()));
				List.copyOf(this.pending.values()).forEach(this::write);
			}
			else {
				// A refusal tells that no process listens there; silence may have other
				// causes and is left to the probes.
				if (future.cause() instanceof ConnectException
						&& !(future.cause() instanceof ConnectTimeoutException)) {
					this.environment.unreachable(this.host);
				}
				abandon("cannot connect: " + future.cause().getMessage());
			}
		});
	}

	private void write(Pending call) {
		if (!this.channel.isWritable()) {
			finish(call.message.getCallId(), new PeerReply.NotDelivered("too much unsent data for " + this.host));
			return;
		}
		call.sent = true;
		this.channel.writeAndFlush(this.environment.codec().encode(call.message)).addListener((written) -> {
			if (!written.isSuccess()) {
				finish(call.message.getCallId(), new PeerReply.Lost("cannot be written: " + written.cause()));
			}
		});
	}

	private void expired(long callId, long timeoutMillis) {
		Pending call = this.pending.get(callId);
		if (call != null) {
			String reason = "no reply from " + this.host + " in " + timeoutMillis + " ms";
			finish(callId, call.sent ? new PeerReply.Lost(reason) : new PeerReply.NotDelivered(reason));
		}
	}

	private void finish(long callId, PeerReply reply) {
		Pending call = this.pending.remove(callId);
		if (call != null) {
			call.timer.cancel(false);
			call.completion.accept(reply);
		}
	}

	private void abandon(String reason) {
		this.channel = null;
		List.copyOf(this.pending.values())
			.forEach((call) -> finish(call.message.getCallId(),
					call.sent ? new PeerReply.Lost(reason) : new PeerReply.NotDelivered(reason)));
		if (this.channel == null) {
			this.environment.closed(this.host, this);
		}
	}

	void close() {
		this.closing = true;
		if (this.channel != null) {
			this.channel.close();
		}
		abandon("the connection to " + this.host + " was closed");
	}

	private void replied(PeerMessage message, Channel from) {
		this.environment.timeline().observe(message.getHybridTime());
		PeerError error = message.getError();
		if (message.hasError() && NOT_HANDLED.contains(error.getKind())) {
			finish(message.getCallId(),
					new PeerReply.NotDelivered(this.host + ": " + error.getKind() + " " + error.getMessage()));
		}
		else if (!this.environment.codec().checkVersion(message.getProtocolVersion(), this.endpoint)) {
			from.close();
		}
		else if (message.hasError()) {
			finish(message.getCallId(),
					new PeerReply.Lost(this.host + ": " + error.getKind() + " " + error.getMessage()));
		}
		else {
			finish(message.getCallId(), new PeerReply.Answered(message));
		}
	}

	private static void probeEndpoint(PeerConnection lost) {
		if (lost.environment.blocked(lost.endpoint)) {
			return;
		}
		new Bootstrap().group(lost.environment.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel created) {
					// Only tells whether the peer listens; carries nothing.
				}
			})
			.connect(Addresses.of(lost.endpoint))
			.addListener((future) -> {
				if (!future.isSuccess()) {
					lost.environment.unreachable(lost.host);
				}
				((ChannelFuture) future).channel().close();
			});
	}

	/**
	 * What a connection needs of the network.
	 */
	interface Environment {

		EventLoop eventLoop();

		PeerMessage.Builder envelope();

		PeerCodec codec();

		Timeline timeline();

		RefusalLog refusals();

		int maxFrameBytes();

		boolean blocked(Endpoint endpoint);

		void unreachable(HostName host);

		void closed(HostName host, PeerConnection connection);

	}

	private static final class Pending {

		private final PeerMessage message;

		private final Consumer<PeerReply> completion;

		private ScheduledFuture<?> timer;

		private boolean sent;

		private Pending(PeerMessage message, Consumer<PeerReply> completion) {
			this.message = message;
			this.completion = completion;
		}

	}

	private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {

		private boolean idle;

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			PeerConnection connection = PeerConnection.this;
			connection.environment.codec()
				.decodeMessage(frame, connection.endpoint)
				.ifPresentOrElse((message) -> connection.replied(message, context.channel()), context::close);
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent && PeerConnection.this.pending.isEmpty()) {
				this.idle = true;
				context.close();
			}
		}

		// A connection that the peer closed is opened again at once: if the peer's
		// process is gone, the attempt is refused and the peer becomes suspect.
		@Override
		public void channelInactive(ChannelHandlerContext context) {
			PeerConnection connection = PeerConnection.this;
			if (connection.closing || context.channel() != connection.channel) {
				return;
			}
			connection.abandon("the connection to " + connection.host + " was closed");
			if (!this.idle && connection.channel == null) {
				connection.environment.eventLoop().execute(() -> probeEndpoint(connection));
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (cause instanceof TooLongFrameException) {
				PeerConnection.this.environment.refusals()
					.refused(RefusalLog.Kind.OVERSIZE, PeerConnection.this.endpoint);
			}
			context.close();
		}

	}

}
