package io.balsamlane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.Probe;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;

/**
 * Socket that sends and receives probes as UDP datagrams.
 */
final class ProbeSocket {

	private static final Logger logger = System.getLogger(ProbeSocket.class.getName());

	private static final int RECEIVE_BUFFER_BYTES = 2_048;

	/** Length of the IPv4 and UDP headers, which count as traffic. */
	private static final int IP_UDP_HEADER_BYTES = 28;

	private final PeerCodec codec;

	private final Timeline timeline;

	private final Predicate<Endpoint> blocked;

	private final BiConsumer<Probe, Endpoint> receiver;

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicLong receivedBytes = new AtomicLong();

	private Channel channel;

	ProbeSocket(PeerCodec codec, Timeline timeline, Predicate<Endpoint> blocked, BiConsumer<Probe, Endpoint> receiver) {
		this.codec = codec;
		this.timeline = timeline;
		this.blocked = blocked;
		this.receiver = receiver;
	}

	ChannelFuture bind(EventLoopGroup group, InetSocketAddress address) {
		ChannelFuture bound = new Bootstrap().group(group)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
			.handler(new Handler())
			.bind(address);
		this.channel = bound.channel();
		return bound;
	}

	void send(Endpoint to, Probe probe) {
		byte[] address = NetUtil.createByteArrayFromIpAddressString(to.address());
		if (address == null || this.blocked.test(to)) {
			return;
		}
		ByteBuf bytes = this.codec.encode(probe.toBuilder()
			.setProtocolVersion(PeerCodec.PROTOCOL_VERSION)
			.setHybridTime(this.timeline.now())
			.build());
		this.sentBytes.addAndGet(bytes.readableBytes() + IP_UDP_HEADER_BYTES);
		this.channel.writeAndFlush(new DatagramPacket(bytes, Addresses.of(to)));
	}

	long sentBytes() {
		return this.sentBytes.get();
	}

	long receivedBytes() {
		return this.receivedBytes.get();
	}

	void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			if (packet.sender().getPort() == 0) {
				return;
			}
			Endpoint from = Endpoint.of(packet.sender().getAddress().getHostAddress(), packet.sender().getPort());
			if (ProbeSocket.this.blocked.test(from)) {
				return;
			}
			ProbeSocket.this.receivedBytes.addAndGet(packet.content().readableBytes() + IP_UDP_HEADER_BYTES);
			ProbeSocket.this.codec.decodeProbe(packet.content(), from).ifPresent((probe) -> {
				ProbeSocket.this.timeline.observe(probe.getHybridTime());
				ProbeSocket.this.receiver.accept(probe, from);
			});
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A datagram that cannot be handled counts as lost; the socket stays open.
			logger.log(Level.WARNING, "Dropped a probe that could not be handled", cause);
		}

	}

}
