package io.balsamlane.router.peer;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.RevisionQuery;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a peer connection that has gone silent without a reset. Guards against routers
 * that send all further calls on it, so that reports and quarantines no longer arrive.
 */
class SilentPeerConnectionTests {

	private static final HostName HOST = HostName.of("router-2");

	private static final int MAX_FRAME_BYTES = 10_000;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final BlockingQueue<PeerReply> replies = new LinkedBlockingQueue<>();

	private final AtomicInteger closed = new AtomicInteger();

	private ServerSocket peer;

	private PeerConnection connection;

	@BeforeEach
	void start() throws Exception {
		this.peer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.peer.setSoTimeout(5000);
		this.connection = new PeerConnection(HOST, Endpoint.of("127.0.0.1", this.peer.getLocalPort()),
				new Environment());
	}

	@AfterEach
	void stop() throws Exception {
		this.peer.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
	}

	private void call(long callId, long timeoutMillis) {
		PeerMessage message = PeerMessage.newBuilder()
			.setCallId(callId)
			.setRevisionQuery(RevisionQuery.getDefaultInstance())
			.build();
		this.group.next().execute(() -> this.connection.call(message, timeoutMillis, this.replies::add));
	}

	@Test
	void connectionWithoutReplyGetsNoFurtherCallsAndIsClosed() throws Exception {
		call(1, 200);
		call(2, 600);
		try (Socket silent = this.peer.accept()) {
			assertThat(this.replies.poll(5, TimeUnit.SECONDS)).isInstanceOf(PeerReply.Lost.class);
			assertThat(this.closed).as("the network forgets the connection").hasValue(1);
			assertThat(this.replies).as("a pending call keeps its connection").isEmpty();
			assertThat(this.replies.poll(5, TimeUnit.SECONDS)).isInstanceOf(PeerReply.Lost.class);
			silent.setSoTimeout(5000);
			assertThat(closedByPeer(silent)).isTrue();
		}
	}

	private static boolean closedByPeer(Socket socket) throws Exception {
		try {
			InputStream in = socket.getInputStream();
			while (in.read() >= 0) {
				// The calls are of no interest.
			}
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	private final class Environment implements PeerConnection.Environment {

		private final RejectionLog rejections = new RejectionLog();

		private final PeerCodec codec = new PeerCodec(MessageAuthenticator.create("present", ""), this.rejections);

		private final Timeline timeline = Timeline.create("router-1", 100, System::currentTimeMillis);

		@Override
		public EventLoop eventLoop() {
			return SilentPeerConnectionTests.this.group.next();
		}

		@Override
		public PeerMessage.Builder envelope() {
			return PeerMessage.newBuilder()
				.setProtocolVersion(PeerCodec.PROTOCOL_VERSION)
				.setFrom(NodeId.newBuilder().setHost("router-1").setIncarnation(1));
		}

		@Override
		public PeerCodec codec() {
			return this.codec;
		}

		@Override
		public Timeline timeline() {
			return this.timeline;
		}

		@Override
		public RejectionLog rejections() {
			return this.rejections;
		}

		@Override
		public int maxFrameBytes() {
			return MAX_FRAME_BYTES;
		}

		@Override
		public boolean blocked(Endpoint endpoint) {
			return false;
		}

		@Override
		public void unreachable(HostName host) {
		}

		@Override
		public void closed(HostName host, PeerConnection connection) {
			SilentPeerConnectionTests.this.closed.incrementAndGet();
		}

	}

}
