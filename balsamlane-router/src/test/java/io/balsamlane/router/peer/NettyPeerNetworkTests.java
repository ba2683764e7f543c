package io.balsamlane.router.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.MemberStatus;
import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.PeerSettings;
import io.balsamlane.schema.Probe;
import io.balsamlane.schema.RevisionQuery;
import io.balsamlane.schema.RevisionReply;
import io.balsamlane.schema.Settings;
import io.netty.buffer.ByteBufUtil;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the network between routers. They guard against peers that make a router
 * handle a message that it must reject, allocate memory without limit or wait forever.
 */
class NettyPeerNetworkTests {

	private static final int MAX_FRAME_BYTES = 200_000;

	private final Vertx vertx = Vertx.vertx();

	private final Timeline timeline = Timeline.create("router-1", 100, System::currentTimeMillis);

	private final AtomicInteger handled = new AtomicInteger();

	private NettyPeerNetwork network;

	private int port;

	@BeforeEach
	void start() throws Exception {
		this.network = create("router-1", "present", "previous", this.timeline);
		this.network.register(PeerMessage.BodyCase.REVISION_QUERY, (from, message) -> {
			this.handled.incrementAndGet();
			return Future.succeededFuture(
					PeerMessage.newBuilder().setRevisionReply(RevisionReply.newBuilder().setAppliedRevision(7)));
		});
		this.port = await(this.network.start(1));
	}

	@AfterEach
	void stop() throws Exception {
		await(this.network.abort());
		await(this.vertx.close());
	}

	private NettyPeerNetwork create(String host, String key, String previousKey, Timeline events) {
		Settings settings = Settings.newBuilder()
			.setNode(NodeSettings.newBuilder().setHost(host).setPlace("place").setAddress("127.0.0.1"))
			.setPeer(PeerSettings.newBuilder()
				.setKey(key)
				.setPreviousKey(previousKey)
				.setProbeMillis(100)
				.setProbeTimeoutMillis(40)
				.setSuspicionMillis(60_000)
				.setMaxFrameBytes(MAX_FRAME_BYTES))
			.build();
		return NettyPeerNetwork.create(this.vertx, settings, events, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long endNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("condition within 10 s").isLessThan(endNanos);
			Thread.sleep(5);
		}
	}

	@ParameterizedTest
	@CsvSource({ "valid, present, 1, answered", "previous-key, previous, 1, answered", "wrong-key, wrong, 1, closed",
			"old-version, present, 0, unsupported-version", "garbage, , 0, closed", "oversize, , 0, closed",
			"negative-length, , 0, closed", "long-first-frame, , 0, closed" })
	void onlyValidFramesAreAnswered(String fault, String key, int version, String expected) throws Exception {
		try (Socket socket = new Socket("127.0.0.1", this.port)) {
			socket.setSoTimeout(5_000);
			DataOutputStream output = new DataOutputStream(socket.getOutputStream());
			switch (fault) {
				case "garbage" -> output.write(new byte[] { 0, 0, 0, 40, 1, 2, 3 });
				case "oversize" -> output.writeInt(MAX_FRAME_BYTES + 1);
				case "negative-length" -> output.writeInt(-5);
				case "long-first-frame" -> output.writeInt(MAX_FRAME_BYTES - 10);
				default -> output.write(frame(key, message(version)));
			}
			if (fault.equals("garbage")) {
				output.write(new byte[37]);
			}
			assertThat(outcome(socket)).isEqualTo(expected);
		}
		assertThat(this.handled.get()).isEqualTo(expected.equals("answered") ? 1 : 0);
		assertThat(answersValidFrame()).as("the listener still answers valid frames").isTrue();
	}

	private boolean answersValidFrame() throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.port)) {
			socket.getOutputStream().write(frame("present", message(1)));
			return outcome(socket).equals("answered");
		}
	}

	private static String outcome(Socket socket) throws IOException {
		DataInputStream input = new DataInputStream(socket.getInputStream());
		try {
			byte[] reply = input.readNBytes(input.readInt());
			PeerMessage message = PeerMessage.parseFrom(Arrays.copyOf(reply, reply.length - PeerCodec.FRAME_MAC_BYTES));
			return message.hasError() ? message.getError().getKind() : "answered";
		}
		catch (EOFException | SocketException ex) {
			return "closed";
		}
	}

	private static PeerMessage message(int version) {
		return PeerMessage.newBuilder()
			.setProtocolVersion(version)
			.setCallId(1)
			.setFrom(NodeId.newBuilder().setHost("router-2").setIncarnation(1))
			.setRevisionQuery(RevisionQuery.getDefaultInstance())
			.build();
	}

	private static byte[] frame(String key, PeerMessage message) {
		return ByteBufUtil
			.getBytes(new PeerCodec(MessageAuthenticator.create(key, ""), new RejectionLog()).encode(message));
	}

	@ParameterizedTest
	@CsvSource({ "valid, present, 1, true", "previous-key, previous, 1, true", "wrong-key, wrong, 1, false",
			"old-version, present, 0, false", "garbage, , 1, false", "empty, , 1, false" })
	void onlyValidProbesAreAccepted(String fault, String key, int version, boolean accepted) throws Exception {
		try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			byte[] bytes = (key != null) ? join(key, version, 9) : new byte[fault.equals("empty") ? 0 : 100];
			send(socket, bytes);
			send(socket, join("present", 1, socket.getLocalPort()));
			socket.setSoTimeout(5_000);
			DatagramPacket reply = new DatagramPacket(new byte[2_048], 2_048);
			socket.receive(reply);
			HostName last = HostName.of("peer-" + socket.getLocalPort());
			await(() -> this.network.members().find(last).isPresent());
			assertThat(this.network.members().find(HostName.of("peer-9")).isPresent()).isEqualTo(accepted);
			assertThat(this.network.rejectedMessages(RejectionLog.Reason.UNAUTHENTICATED)
					+ this.network.rejectedMessages(RejectionLog.Reason.VERSION))
				.isEqualTo(accepted ? 0 : 1);
		}
	}

	private void send(DatagramSocket socket, byte[] bytes) throws IOException {
		socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), this.port));
	}

	private static byte[] join(String key, int version, int port) {
		String host = "peer-" + port;
		Probe probe = Probe.newBuilder()
			.setProtocolVersion(version)
			.setKind(Probe.Kind.JOIN)
			.setSequence(1)
			.setFrom(NodeId.newBuilder().setHost(host).setIncarnation(1))
			.addUpdates(MemberUpdate.newBuilder()
				.setHost(host)
				.setIncarnation(1)
				.setStatus(MemberStatus.ALIVE)
				.setPlace("place")
				.setAddress("127.0.0.1")
				.setPeerPort(port))
			.build();
		return ByteBufUtil
			.getBytes(new PeerCodec(MessageAuthenticator.create(key, ""), new RejectionLog()).encode(probe));
	}

	@ParameterizedTest
	@EnumSource(PeerFault.class)
	void callToFaultyPeerCompletesWithExpectedOutcome(PeerFault fault) throws Exception {
		try (ServerSocket peer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
				DatagramSocket probes = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			HostName host = HostName.of("peer-" + peer.getLocalPort());
			send(probes, join("present", 1, peer.getLocalPort()));
			await(() -> this.network.members().find(host).isPresent());
			if (fault == PeerFault.REFUSED) {
				peer.close();
			}
			Thread server = new Thread(() -> fault.serve(peer), "faulty-peer");
			server.start();
			PeerReply reply = await(this.network.call(host,
					PeerMessage.newBuilder().setRevisionQuery(RevisionQuery.getDefaultInstance()), 1_000));
			assertThat(reply.getClass()).as(reply.toString()).isEqualTo(fault.expected);
			if (fault == PeerFault.REFUSED || fault == PeerFault.CRASHED) {
				await(() -> !this.timeline.find(EventQuery.newBuilder().setSubject(host.value()).setLimit(10).build())
					.getEventsList()
					.stream()
					.filter((event) -> event.getKind() == EventKind.MEMBER_SUSPECTED)
					.toList()
					.isEmpty());
			}
			server.join(5_000);
		}
	}

	@Test
	void twoRoutersDiscoverAndCallEachOther() throws Exception {
		NettyPeerNetwork other = create("router-2", "present", "", Timeline.create("router-2", 10, () -> 0));
		await(other.start(2));
		other.setSeeds(List.of(new RouterHost(HostName.of("router-1"), Place.of("place"),
				Endpoint.of("127.0.0.1", this.port), false)));
		await(() -> other.members().members().size() == 2 && this.network.members().members().size() == 2);
		PeerReply reply = await(other.call(HostName.of("router-1"),
				PeerMessage.newBuilder().setRevisionQuery(RevisionQuery.getDefaultInstance()), 2_000));
		assertThat(reply).isInstanceOf(PeerReply.Answered.class);
		assertThat(await(other.call(HostName.of("router-2"),
				PeerMessage.newBuilder().setRevisionQuery(RevisionQuery.getDefaultInstance()), 2_000)))
			.as("call to itself without a handler")
			.isInstanceOf(PeerReply.NotDelivered.class);
		await(other.leave());
		await(() -> this.network.members().members().size() == 1);
		await(other.stop());
	}

	/**
	 * Behaviour of a faulty peer when it is called.
	 */
	enum PeerFault {

		REFUSED(PeerReply.NotDelivered.class, (peer, socket) -> {
		}),

		SILENT(PeerReply.Lost.class, (peer, socket) -> socket.getInputStream().readAllBytes()),

		CRASHED(PeerReply.Lost.class, (peer, socket) -> {
			peer.close();
			socket.setSoLinger(true, 0);
		}),

		MALFORMED_REPLY(PeerReply.Lost.class,
				(peer, socket) -> socket.getOutputStream().write(new byte[] { 0, 0, 0, 2, 1, 1 })),

		OVERSIZED_REPLY(PeerReply.Lost.class, (peer, socket) -> {
			new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);
			socket.getInputStream().readAllBytes();
		});

		private final Class<? extends PeerReply> expected;

		private final Behaviour behaviour;

		PeerFault(Class<? extends PeerReply> expected, Behaviour behaviour) {
			this.expected = expected;
			this.behaviour = behaviour;
		}

		// Skips the exchange of member tables, which uses the same connection.
		private void serve(ServerSocket peer) {
			try (Socket socket = peer.accept()) {
				DataInputStream input = new DataInputStream(socket.getInputStream());
				byte[] frame = input.readNBytes(input.readInt());
				while (!PeerMessage.parseFrom(Arrays.copyOf(frame, frame.length - PeerCodec.FRAME_MAC_BYTES))
					.hasRevisionQuery()) {
					frame = input.readNBytes(input.readInt());
				}
				this.behaviour.serve(peer, socket);
			}
			catch (IOException ex) {
				// The router closed the connection, so this peer ends.
			}
		}

		private interface Behaviour {

			void serve(ServerSocket peer, Socket socket) throws IOException;

		}

	}

}
