package io.balsamlane.router.decision;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.router.peer.PeerHandler;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * In-process peer network whose routers can be made unresponsive individually.
 */
final class InMemoryPeerNetwork implements PeerNetwork {

	private final Map<HostName, InMemoryPeerNetwork> networksByHost;

	private final Map<PeerMessage.BodyCase, PeerHandler> handlers = new EnumMap<>(PeerMessage.BodyCase.class);

	private final List<Consumer<MemberView>> listeners = new ArrayList<>();

	private final Member self;

	private volatile MemberView view;

	volatile boolean unresponsive;

	private InMemoryPeerNetwork(Map<HostName, InMemoryPeerNetwork> networksByHost, Member self) {
		this.networksByHost = networksByHost;
		this.self = self;
		this.view = new MemberView(self, List.of(self));
	}

	static List<InMemoryPeerNetwork> create(String... places) {
		Map<HostName, InMemoryPeerNetwork> networksByHost = new ConcurrentHashMap<>();
		List<InMemoryPeerNetwork> networks = new ArrayList<>();
		for (int i = 0; i < places.length; i++) {
			Member member = new Member(HostName.of("router-" + i), 1, Place.of(places[i]), Endpoint.of("127.0.0.1", 1));
			networks.add(new InMemoryPeerNetwork(networksByHost, member));
			networksByHost.put(member.host(), networks.get(i));
		}
		networks.forEach((network) -> network.setMembers(networks));
		return networks;
	}

	HostName host() {
		return this.self.host();
	}

	void setMembers(List<InMemoryPeerNetwork> alive) {
		this.view = new MemberView(this.self, alive.stream().map((network) -> network.self).toList());
		this.listeners.forEach((listener) -> listener.accept(this.view));
	}

	@Override
	public MemberView members() {
		return this.view;
	}

	@Override
	public void addMemberListener(Consumer<MemberView> listener) {
		this.listeners.add(listener);
	}

	@Override
	public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
		InMemoryPeerNetwork target = this.networksByHost.get(to);
		if (target.unresponsive || this.unresponsive) {
			return Promise.<PeerReply>promise()
				.future()
				.timeout(timeoutMillis, TimeUnit.MILLISECONDS)
				.otherwise((cause) -> new PeerReply.Lost("no reply"));
		}
		return target.handlers.get(message.getBodyCase())
			.handle(NodeId.getDefaultInstance(), message.build())
			.map((reply) -> (PeerReply) new PeerReply.Answered(reply.build()))
			.otherwise((cause) -> new PeerReply.Lost(String.valueOf(cause.getMessage())));
	}

	@Override
	public void register(PeerMessage.BodyCase body, PeerHandler handler) {
		this.handlers.put(body, handler);
	}

}
