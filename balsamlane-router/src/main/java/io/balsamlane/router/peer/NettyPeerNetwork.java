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
 * Membership over UDP and calls over TCP, on one peer thread of its own. Other threads
 * reach it through a bounded ring; handlers and listeners run on one Vert.x event loop.
 */
public final class NettyPeerNetwork implements PeerNetwork {

	private static final Logger logger = System.getLogger(NettyPeerNetwork.class.getName());

	private static final int BIND_ATTEMPTS = 20;

	private static final long SYNCHRONIZE_TIMEOUT_MILLIS = 2_000;

	private final Context context;

	private final PeerSettings settings;

	private final Timeline timeline;

	private final EventLoopGroup group;

	private final EventLoop eventLoop;

	private final CommandRing ring;

	private final RefusalLog refusals = new RefusalLog();

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
		this.ring = new CommandRing(this.eventLoop);
		this.codec = new PeerCodec(MessageAuthenticator.create(this.settings.getKey(), this.settings.getPreviousKey()),
				this.refusals);
		this.driver = new MembershipDriver(this.settings, this.eventLoop, random, this::perform);
		this.socket = new ProbeSocket(this.codec, timeline, (endpoint) -> this.blocked.test(endpoint),
				this.driver::received);
		this.listener = new PeerListener(this.codec, this.refusals, timeline, this.context, this::nodeId,
				this.settings.getMaxFrameBytes());
		this.listener.register(PeerMessage.BodyCase.MEMBER_SYNC, (from, message) -> exchange(message));
	}

	/**
	 * Creates the network of a router; it neither listens nor sends before it is started.
	 * @param vertx provides the event loop of the handlers
	 * @param settings the settings of the daemon
	 * @param timeline events and hybrid time of this process
	 * @param random source of randomness
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
			logger.log(Level.WARNING, "No [peer] key is set: listening for other routers on {0} only", loopback);
			return loopback;
		}
		return address;
	}

	private Member self(int port) {
		return new Member(this.host, this.firstIncarnation, this.place, Endpoint.of(this.address, port));
	}

	/**
	 * Binds the TCP and the UDP port, which have the same number, and starts probing.
	 * @param adminPort port for operators, announced to the others
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
					// The kernel chose a TCP port whose number another process uses for
					// UDP.
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
	 * Announces that this node is leaving; it goes on answering calls.
	 * @return completes when the announcement is sent
	 */
	public Future<Void> leave() {
		return command(this.driver::leave);
	}

	/**
	 * Announces the end of this process and closes everything.
	 * @return completes when everything is closed
	 */
	public Future<Void> stop() {
		return command(this.driver::stop).compose((announced) -> abort());
	}

	/**
	 * Closes everything without telling the other routers, as a crash would.
	 * @return completes when everything is closed
	 */
	public Future<Void> abort() {
		Promise<Void> closed = Promise.promise();
		this.eventLoop.execute(() -> {
			this.driver.halt();
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
		boolean accepted = this.ring.offer(() -> {
			command.run();
			this.context.runOnContext((nothing) -> done.complete());
		});
		return accepted ? done.future() : Future.failedFuture("the ring of the peer thread is full");
	}

	/**
	 * Replaces the routers that the platform's host list shows.
	 * @param routers the routers, this node possibly included
	 */
	public void seed(List<RouterHost> routers) {
		this.ring.offer(() -> this.driver.seed(routers));
	}

	/**
	 * Drops the traffic with some addresses; tests and measurements make partitions with
	 * it.
	 * @param condition true for addresses that cannot be reached
	 */
	public void block(Predicate<Endpoint> condition) {
		this.blocked = condition;
	}

	/**
	 * Returns what this node believes about every node, removed ones included.
	 * @return the statements
	 */
	public Future<List<MemberUpdate>> table() {
		Promise<List<MemberUpdate>> table = Promise.promise();
		Context caller = Objects.requireNonNullElse(Vertx.currentContext(), this.context);
		if (!this.ring.offer(() -> {
			List<MemberUpdate> snapshot = this.driver.snapshot();
			caller.runOnContext((nothing) -> table.complete(snapshot));
		})) {
			return Future.failedFuture("the ring of the peer thread is full");
		}
		return table.future();
	}

	/**
	 * Returns the bytes of all probes sent, with UDP and IP headers.
	 * @return the bytes
	 */
	public long sentProbeBytes() {
		return this.socket.sentBytes();
	}

	/**
	 * Returns the bytes of all probes received, with UDP and IP headers.
	 * @return the bytes
	 */
	public long receivedProbeBytes() {
		return this.socket.receivedBytes();
	}

	/**
	 * Returns the bytes of the member tables sent and received over TCP.
	 * @return the bytes
	 */
	public long synchronizedBytes() {
		return this.driver.synchronizedBytes();
	}

	long refused(RefusalLog.Kind kind) {
		return this.refusals.count(kind);
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
		this.ring.offer(() -> this.driver.announceRevision(revision));
	}

	@Override
	public void storeContacted() {
		long contactNanos = System.nanoTime();
		this.ring.offer(() -> this.driver.storeContact(contactNanos));
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
		else if (!this.ring.offer(() -> callPeer(to, message, timeoutMillis, completion))) {
			completion.accept(new PeerReply.NotDelivered("the ring of the peer thread is full"));
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
		if (complete.getSerializedSize() + PeerCodec.FRAME_CODE_BYTES + Integer.BYTES > this.settings
			.getMaxFrameBytes()) {
			completion.accept(new PeerReply.NotDelivered("the message is longer than [peer] max_frame_bytes"));
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

	private Future<PeerMessage.Builder> exchange(PeerMessage message) {
		Promise<PeerMessage.Builder> reply = Promise.promise();
		this.eventLoop.execute(() -> {
			this.driver.synchronize(message.getMemberSync());
			reply.complete(PeerMessage.newBuilder().setMemberSync(table(this.driver.snapshot())));
		});
		return reply.future();
	}

	private static MemberSync table(List<MemberUpdate> members) {
		return MemberSync.newBuilder().addAllMembers(members).build();
	}

	private void perform(MembershipAction action) {
		if (action instanceof MembershipAction.Send send) {
			this.socket.send(send.to(), send.probe());
		}
		else if (action instanceof MembershipAction.Synchronize synchronize) {
			callPeer(synchronize.host(), PeerMessage.newBuilder().setMemberSync(table(this.driver.snapshot())),
					SYNCHRONIZE_TIMEOUT_MILLIS, (reply) -> {
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
		else if (action instanceof MembershipAction.RevisionAnnounced heard) {
			this.context.runOnContext((nothing) -> this.revisionListeners.forEach((added) -> added.accept(heard)));
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
		public RefusalLog refusals() {
			return NettyPeerNetwork.this.refusals;
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
