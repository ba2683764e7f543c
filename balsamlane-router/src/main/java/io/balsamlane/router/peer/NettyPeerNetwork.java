package io.balsamlane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.membership.MembershipAction;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.MemberSync;
import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.PeerSettings;
import io.balsamlane.schema.Settings;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * {@link PeerNetwork} with membership over UDP and calls over TCP, both on a dedicated
 * peer thread. Other threads submit commands to it through a bounded queue. Handlers and
 * listeners run on one Vert.x event loop.
 */
public final class NettyPeerNetwork implements PeerNetwork {

	private static final Logger logger = System.getLogger(NettyPeerNetwork.class.getName());

	private static final int BIND_ATTEMPTS = 20;

	private static final long MEMBER_SYNC_TIMEOUT_MILLIS = 2_000;

	private final Context context;

	private final PeerSettings settings;

	private final Timeline timeline;

	private final EventLoopGroup group;

	private final EventLoop eventLoop;

	private final CommandQueue queue;

	private final RejectionLog rejections = new RejectionLog();

	private final PeerCodec codec;

	private final ProbeSocket socket;

	private final PeerListener listener;

	private final MembershipDriver driver;

	private final String address;

	private final HostName host;

	private final Place place;

	private final long firstIncarnation;

	private final Map<HostName, PeerConnection> connections = new HashMap<>();

	private final List<Consumer<MemberView>> memberListeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<MembershipAction.RevisionAnnounced>> revisionListeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<MembershipAction.RemovalRefuted>> removalListeners = new CopyOnWriteArrayList<>();

	private volatile MemberView view;

	private volatile Predicate<Endpoint> blocked = (endpoint) -> false;

	private long lastCallId;

	private NettyPeerNetwork(Vertx vertx, Settings settings, Timeline timeline, UniformRandomProvider random) {
		this.context = vertx.getOrCreateContext();
		this.settings = settings.getPeer();
		this.timeline = timeline;
		this.host = HostName.of(settings.getNode().getHost());
		this.place = Place.of(settings.getNode().getPlace());
		this.address = listenAddress(settings);
		this.firstIncarnation = System.currentTimeMillis();
		Member self = self(Math.max(1, this.settings.getPort()));
		this.view = new MemberView(self, List.of(self));
		this.group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peer-" + this.host, true),
				NioIoHandler.newFactory());
		this.eventLoop = this.group.next();
		this.queue = new CommandQueue(this.eventLoop);
		this.codec = new PeerCodec(MessageAuthenticator.create(this.settings.getKey(), this.settings.getPreviousKey()),
				this.rejections);
		this.driver = new MembershipDriver(this.settings, this.eventLoop, random, this::perform);
		this.socket = new ProbeSocket(this.codec, timeline, (endpoint) -> this.blocked.test(endpoint),
				this.driver::received);
		this.listener = new PeerListener(this.codec, this.rejections, timeline, this.context, this::nodeId,
				this.settings.getMaxFrameBytes());
		this.listener.register(PeerMessage.BodyCase.MEMBER_SYNC, (from, message) -> exchangeMemberTables(message));
	}

	/**
	 * Create the network of a router. It does not listen or send before it is started.
	 * @param vertx provides the event loop of the handlers
	 * @param settings the settings of the daemon
	 * @param timeline the events and the hybrid time of this process
	 * @param random the source of randomness
	 * @return the network
	 */
	public static NettyPeerNetwork create(Vertx vertx, Settings settings, Timeline timeline,
			UniformRandomProvider random) {
		return new NettyPeerNetwork(vertx, settings, timeline, random);
	}

	private static String listenAddress(Settings settings) {
		String address = settings.getNode().getAddress();
		if (settings.getPeer().getKey().isEmpty()) {
			String loopback = InetAddress.getLoopbackAddress().getHostAddress();
			logger.log(Level.WARNING, "No [peer] key is set; listening for other routers on {0} only", loopback);
			return loopback;
		}
		return address;
	}

	private Member self(int port) {
		return new Member(this.host, this.firstIncarnation, this.place, Endpoint.of(this.address, port));
	}

	/**
	 * Bind the TCP and the UDP port, which have the same number, and start probing.
	 * @param adminPort the port for operators, which is announced to the other routers
	 * @return the port
	 */
	public Future<Integer> start(int adminPort) {
		Promise<Integer> started = Promise.promise();
		bind(BIND_ATTEMPTS, adminPort, started);
		return started.future();
	}

	private void bind(int attemptsLeft, int adminPort, Promise<Integer> started) {
		ChannelFuture tcp = this.listener.bind(this.group, Addresses.of(this.address, this.settings.getPort()));
		tcp.addListener((bound) -> {
			if (!bound.isSuccess()) {
				started.fail(bound.cause());
				return;
			}
			int port = ((InetSocketAddress) tcp.channel().localAddress()).getPort();
			this.socket.bind(this.group, Addresses.of(this.address, port)).addListener((udp) -> {
				if (udp.isSuccess()) {
					this.driver.start(self(port), adminPort);
					this.view = this.driver.view();
					started.complete(port);
				}
				else if (this.settings.getPort() == 0 && attemptsLeft > 1) {
					// Another process uses the number of the chosen TCP port for UDP.
					this.listener.close();
					bind(attemptsLeft - 1, adminPort, started);
				}
				else {
					started.fail(udp.cause());
				}
			});
		});
	}

	/**
	 * Announce that this node is leaving. It continues to answer calls.
	 * @return a future that completes when the announcement has been sent
	 */
	public Future<Void> leave() {
		return command(this.driver::leave);
	}

	/**
	 * Announce the end of this process and close all sockets.
	 * @return a future that completes when they are closed
	 */
	public Future<Void> stop() {
		return command(this.driver::stop).compose((announced) -> abort());
	}

	/**
	 * Close all sockets without an announcement to the other routers, as a crash would.
	 * @return a future that completes when they are closed
	 */
	public Future<Void> abort() {
		Promise<Void> closed = Promise.promise();
		this.eventLoop.execute(() -> {
			this.driver.cancelTimer();
			this.socket.close();
			this.listener.close();
			List.copyOf(this.connections.values()).forEach(PeerConnection::close);
			this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
				.addListener((done) -> this.context.runOnContext((nothing) -> closed.complete()));
		});
		return closed.future();
	}

	private Future<Void> command(Runnable command) {
		Promise<Void> done = Promise.promise();
		boolean accepted = this.queue.offer(() -> {
			command.run();
			this.context.runOnContext((nothing) -> done.complete());
		});
		return accepted ? done.future() : Future.failedFuture("the command queue of the peer thread is full");
	}

	/**
	 * Replace the seed nodes by the routers of the platform's host list.
	 * @param routers the routers of the list, which may include this node
	 */
	public void setSeeds(List<RouterHost> routers) {
		this.queue.offer(() -> this.driver.setSeeds(routers));
	}

	/**
	 * Drop the traffic with some endpoints. Tests and measurements simulate network
	 * partitions with it.
	 * @param condition true for endpoints that cannot be reached
	 */
	public void block(Predicate<Endpoint> condition) {
		this.blocked = condition;
	}

	/**
	 * Return the state of all nodes as known to this node, including removed ones.
	 * @return one update for each node
	 */
	public Future<List<MemberUpdate>> memberTable() {
		Promise<List<MemberUpdate>> updates = Promise.promise();
		Context caller = Objects.requireNonNullElse(Vertx.currentContext(), this.context);
		if (!this.queue.offer(() -> {
			List<MemberUpdate> snapshot = this.driver.snapshot();
			caller.runOnContext((nothing) -> updates.complete(snapshot));
		})) {
			return Future.failedFuture("the command queue of the peer thread is full");
		}
		return updates.future();
	}

	/**
	 * Return the number of bytes of all probes sent, including UDP and IP headers.
	 * @return the number of bytes
	 */
	public long sentProbeBytes() {
		return this.socket.sentBytes();
	}

	/**
	 * Return the number of bytes of all probes received, including UDP and IP headers.
	 * @return the number of bytes
	 */
	public long receivedProbeBytes() {
		return this.socket.receivedBytes();
	}

	/**
	 * Return the number of bytes of the member tables received over TCP.
	 * @return the number of bytes
	 */
	public long synchronizedBytes() {
		return this.driver.synchronizedBytes();
	}

	long rejectedMessages(RejectionLog.Reason reason) {
		return this.rejections.count(reason);
	}

	@Override
	public MemberView members() {
		return this.view;
	}

	@Override
	public void addMemberListener(Consumer<MemberView> added) {
		this.memberListeners.add(added);
	}

	@Override
	public void addRevisionListener(Consumer<MembershipAction.RevisionAnnounced> added) {
		this.revisionListeners.add(added);
	}

	@Override
	public void addRemovalListener(Consumer<MembershipAction.RemovalRefuted> added) {
		this.removalListeners.add(added);
	}

	@Override
	public void announceRevision(long revision) {
		this.queue.offer(() -> this.driver.announceRevision(revision));
	}

	@Override
	public void recordStoreContact() {
		long contactNanos = System.nanoTime();
		this.queue.offer(() -> this.driver.recordStoreContact(contactNanos));
	}

	@Override
	public long storeAgeMillis() {
		return this.driver.storeAgeMillis();
	}

	@Override
	public long peerAgeMillis() {
		return this.driver.peerAgeMillis();
	}

	@Override
	public boolean confirmed() {
		return this.driver.confirmed();
	}

	@Override
	public void register(PeerMessage.BodyCase body, PeerHandler handler) {
		this.listener.register(body, handler);
	}

	@Override
	public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
		Promise<PeerReply> reply = Promise.promise();
		Context caller = Objects.requireNonNullElse(Vertx.currentContext(), this.context);
		Consumer<PeerReply> completion = (result) -> caller.runOnContext((nothing) -> reply.tryComplete(result));
		if (to.equals(this.host)) {
			callSelf(message, timeoutMillis, completion);
		}
		else if (!this.queue.offer(() -> callPeer(to, message, timeoutMillis, completion))) {
			completion.accept(new PeerReply.NotDelivered("the command queue of the peer thread is full"));
		}
		return reply.future();
	}

	private void callSelf(PeerMessage.Builder message, long timeoutMillis, Consumer<PeerReply> completion) {
		this.listener.handle(message.setFrom(nodeId()).setHybridTime(this.timeline.now()).build())
			.map((reply) -> reply.setFrom(nodeId()).build())
			.map((reply) -> reply.hasError() ? error(reply) : new PeerReply.Answered(reply))
			.timeout(timeoutMillis, TimeUnit.MILLISECONDS)
			.otherwise((cause) -> new PeerReply.Lost("no reply in " + timeoutMillis + " ms"))
			.onSuccess(completion::accept);
	}

	private static PeerReply error(PeerMessage reply) {
		String kind = reply.getError().getKind();
		String reason = kind + " " + reply.getError().getMessage();
		return PeerConnection.NOT_HANDLED.contains(kind) ? new PeerReply.NotDelivered(reason)
				: new PeerReply.Lost(reason);
	}

	private void callPeer(HostName to, PeerMessage.Builder message, long timeoutMillis,
			Consumer<PeerReply> completion) {
		Endpoint endpoint = this.driver.endpoint(to).orElse(null);
		if (endpoint == null) {
			completion.accept(new PeerReply.NotDelivered(to + " is not a member"));
			return;
		}
		PeerConnection present = this.connections.get(to);
		if (present != null && !present.endpoint().equals(endpoint)) {
			present.close();
		}
		PeerMessage complete = envelope().mergeFrom(message.build()).setCallId(++this.lastCallId).build();
		if (complete.getSerializedSize() + PeerCodec.FRAME_MAC_BYTES + Integer.BYTES > this.settings
			.getMaxFrameBytes()) {
			completion.accept(new PeerReply.NotDelivered("the message exceeds [peer] max_frame_bytes"));
			return;
		}
		this.connections.computeIfAbsent(to, (name) -> new PeerConnection(name, endpoint, new Environment()))
			.call(complete, timeoutMillis, completion);
	}

	private PeerMessage.Builder envelope() {
		return PeerMessage.newBuilder()
			.setProtocolVersion(PeerCodec.PROTOCOL_VERSION)
			.setFrom(nodeId())
			.setHybridTime(this.timeline.now());
	}

	private NodeId nodeId() {
		return NodeId.newBuilder().setHost(this.host.value()).setIncarnation(this.view.self().incarnation()).build();
	}

	private Future<PeerMessage.Builder> exchangeMemberTables(PeerMessage message) {
		Promise<PeerMessage.Builder> reply = Promise.promise();
		this.eventLoop.execute(() -> {
			this.driver.synchronize(message.getMemberSync());
			reply.complete(PeerMessage.newBuilder().setMemberSync(memberSync(this.driver.snapshot())));
		});
		return reply.future();
	}

	private static MemberSync memberSync(List<MemberUpdate> members) {
		return MemberSync.newBuilder().addAllMembers(members).build();
	}

	private void perform(MembershipAction action) {
		if (action instanceof MembershipAction.Send send) {
			this.socket.send(send.to(), send.probe());
		}
		else if (action instanceof MembershipAction.Synchronize synchronize) {
			callPeer(synchronize.host(), PeerMessage.newBuilder().setMemberSync(memberSync(this.driver.snapshot())),
					MEMBER_SYNC_TIMEOUT_MILLIS, (reply) -> {
						if (reply instanceof PeerReply.Answered answered) {
							this.driver.synchronize(answered.message().getMemberSync());
						}
					});
		}
		else if (action instanceof MembershipAction.ViewChanged changed) {
			this.view = changed.view();
			this.context
				.runOnContext((nothing) -> this.memberListeners.forEach((added) -> added.accept(changed.view())));
		}
		else if (action instanceof MembershipAction.RevisionAnnounced announced) {
			this.context.runOnContext((nothing) -> this.revisionListeners.forEach((added) -> added.accept(announced)));
		}
		else {
			if (action instanceof MembershipAction.RemovalRefuted refuted) {
				this.removalListeners.forEach((added) -> added.accept(refuted));
			}
			MembershipEvents.record(this.timeline, this.host, action);
		}
	}

	private final class Environment implements PeerConnection.Environment {

		@Override
		public EventLoop eventLoop() {
			return NettyPeerNetwork.this.eventLoop;
		}

		@Override
		public PeerMessage.Builder envelope() {
			return NettyPeerNetwork.this.envelope();
		}

		@Override
		public PeerCodec codec() {
			return NettyPeerNetwork.this.codec;
		}

		@Override
		public Timeline timeline() {
			return NettyPeerNetwork.this.timeline;
		}

		@Override
		public RejectionLog rejections() {
			return NettyPeerNetwork.this.rejections;
		}

		@Override
		public int maxFrameBytes() {
			return NettyPeerNetwork.this.settings.getMaxFrameBytes();
		}

		@Override
		public boolean blocked(Endpoint endpoint) {
			return NettyPeerNetwork.this.blocked.test(endpoint);
		}

		@Override
		public void unreachable(HostName lost) {
			NettyPeerNetwork.this.driver.connectionLost(lost);
		}

		@Override
		public void closed(HostName peer, PeerConnection connection) {
			NettyPeerNetwork.this.connections.remove(peer, connection);
		}

	}

}
