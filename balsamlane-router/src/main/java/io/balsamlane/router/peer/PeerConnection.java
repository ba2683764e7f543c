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
 * Connection to one peer for the calls of this node. It is opened by the first call and
 * closed when idle. A connection on which nothing has been received since a call that
 * timed out may be silent for good: it gets no further calls and is closed when the
 * pending ones have ended. Confined to the peer thread.
 */
final class PeerConnection {

	/** Error kinds by which a peer states that it did not handle the message. */
	static final List<String> NOT_HANDLED = List.of("unsupported-version", "no-handler", "busy");

	private static final int MAX_PENDING_CALLS = 1_024;

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int IDLE_SECONDS = 30;

	private final HostName host;

	private final Endpoint endpoint;

	private final Environment environment;

	private final Map<Long, PendingCall> pending = new LinkedHashMap<>();

	private Channel channel;

	private long lastReceivedNanos;

	private boolean retired;

	private boolean closing;

	PeerConnection(HostName host, Endpoint endpoint, Environment environment) {
		this.lastReceivedNanos = System.nanoTime();
		this.host = host;
		this.endpoint = endpoint;
		this.environment = environment;
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	void call(PeerMessage message, long timeoutMillis, Consumer<PeerReply> completion) {
		if (this.closing || this.pending.size() >= MAX_PENDING_CALLS) {
			completion.accept(new PeerReply.NotDelivered("too many calls to " + this.host + " are pending"));
			return;
		}
		PendingCall call = new PendingCall(message, completion);
		this.pending.put(message.getCallId(), call);
		call.timer = this.environment.eventLoop()
			.schedule(() -> timeOut(message.getCallId(), timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
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
				.schedule(() -> failPendingCalls("no route to the peer"), CONNECT_TIMEOUT_MILLIS,
						TimeUnit.MILLISECONDS);
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
				// The listener accepts long frames only after a short authenticated one.
				this.channel.writeAndFlush(this.environment.codec().encode(this.environment.envelope().build()));
				List.copyOf(this.pending.values()).forEach(this::write);
			}
			else {
				// A refused connection shows that no process listens on the port. A
				// timeout may have other causes and is left to the failure detector.
				if (future.cause() instanceof ConnectException
						&& !(future.cause() instanceof ConnectTimeoutException)) {
					this.environment.unreachable(this.host);
				}
				failPendingCalls("cannot connect: " + future.cause().getMessage());
			}
		});
	}

	private void write(PendingCall call) {
		if (!this.channel.isWritable()) {
			complete(call.message.getCallId(), new PeerReply.NotDelivered("too much unsent data for " + this.host));
			return;
		}
		call.sent = true;
		call.sentNanos = System.nanoTime();
		this.channel.writeAndFlush(this.environment.codec().encode(call.message)).addListener((written) -> {
			if (!written.isSuccess()) {
				complete(call.message.getCallId(), new PeerReply.Lost("cannot write the message: " + written.cause()));
			}
		});
	}

	private void timeOut(long callId, long timeoutMillis) {
		PendingCall call = this.pending.get(callId);
		if (call != null) {
			if (call.sent && this.lastReceivedNanos - call.sentNanos < 0) {
				retire();
			}
			String reason = "no reply from " + this.host + " in " + timeoutMillis + " ms";
			complete(callId, call.sent ? new PeerReply.Lost(reason) : new PeerReply.NotDelivered(reason));
		}
	}

	private void retire() {
		if (!this.retired) {
			this.retired = true;
			this.environment.closed(this.host, this);
		}
	}

	private void complete(long callId, PeerReply reply) {
		PendingCall call = this.pending.remove(callId);
		if (call != null) {
			call.timer.cancel(false);
			call.completion.accept(reply);
			if (this.retired && !this.closing && this.pending.isEmpty()) {
				close();
			}
		}
	}

	private void failPendingCalls(String reason) {
		this.channel = null;
		List.copyOf(this.pending.values())
			.forEach((call) -> complete(call.message.getCallId(),
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
		failPendingCalls("the connection to " + this.host + " was closed");
	}

	private void handleReply(PeerMessage message, Channel from) {
		this.environment.timeline().observe(message.getHybridTime());
		PeerError error = message.getError();
		if (message.hasError() && NOT_HANDLED.contains(error.getKind())) {
			complete(message.getCallId(),
					new PeerReply.NotDelivered(this.host + ": " + error.getKind() + " " + error.getMessage()));
		}
		else if (!this.environment.codec().checkVersion(message.getProtocolVersion(), this.endpoint)) {
			from.close();
		}
		else if (message.hasError()) {
			complete(message.getCallId(),
					new PeerReply.Lost(this.host + ": " + error.getKind() + " " + error.getMessage()));
		}
		else {
			complete(message.getCallId(), new PeerReply.Answered(message));
		}
	}

	private static void checkReachable(PeerConnection lost) {
		if (lost.environment.blocked(lost.endpoint)) {
			return;
		}
		new Bootstrap().group(lost.environment.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel created) {
					// Carries no data: it only shows whether the peer listens.
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
	 * Access of a connection to the network that owns it.
	 */
	interface Environment {

		EventLoop eventLoop();

		PeerMessage.Builder envelope();

		PeerCodec codec();

		Timeline timeline();

		RejectionLog rejections();

		int maxFrameBytes();

		boolean blocked(Endpoint endpoint);

		void unreachable(HostName host);

		void closed(HostName host, PeerConnection connection);

	}

	private static final class PendingCall {

		private final PeerMessage message;

		private final Consumer<PeerReply> completion;

		private ScheduledFuture<?> timer;

		private boolean sent;

		private long sentNanos;

		private PendingCall(PeerMessage message, Consumer<PeerReply> completion) {
			this.message = message;
			this.completion = completion;
		}

	}

	private final class Handler extends SimpleChannelInboundHandler<ByteBuf> {

		private boolean idle;

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			PeerConnection connection = PeerConnection.this;
			connection.lastReceivedNanos = System.nanoTime();
			connection.environment.codec()
				.decodeMessage(frame, connection.endpoint)
				.ifPresentOrElse((message) -> connection.handleReply(message, context.channel()), context::close);
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent && PeerConnection.this.pending.isEmpty()) {
				this.idle = true;
				context.close();
			}
		}

		// Checks at once whether the peer still listens after it closed the connection:
		// if its process has ended, the attempt is refused and the peer is suspected.
		@Override
		public void channelInactive(ChannelHandlerContext context) {
			PeerConnection connection = PeerConnection.this;
			if (connection.closing || context.channel() != connection.channel) {
				return;
			}
			connection.failPendingCalls("the connection to " + connection.host + " was closed");
			if (!this.idle && connection.channel == null) {
				connection.environment.eventLoop().execute(() -> checkReachable(connection));
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (cause instanceof TooLongFrameException) {
				PeerConnection.this.environment.rejections()
					.record(RejectionLog.Reason.OVERSIZED, PeerConnection.this.endpoint);
			}
			context.close();
		}

	}

}
