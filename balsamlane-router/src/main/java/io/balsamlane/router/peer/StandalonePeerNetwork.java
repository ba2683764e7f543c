package io.balsamlane.router.peer;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * Network of a router without peers, for tests of components that call peers.
 */
public final class StandalonePeerNetwork implements PeerNetwork {

	private final MemberView view;

	private final Map<PeerMessage.BodyCase, PeerHandler> handlers = new EnumMap<>(PeerMessage.BodyCase.class);

	private StandalonePeerNetwork(Member self) {
		this.view = new MemberView(self, List.of(self));
	}

	/**
	 * Create the network of a router.
	 * @param self this router
	 * @return the network
	 */
	public static StandalonePeerNetwork create(Member self) {
		return new StandalonePeerNetwork(self);
	}

	@Override
	public MemberView members() {
		return this.view;
	}

	@Override
	public void addMemberListener(Consumer<MemberView> listener) {
		// The members never change.
	}

	@Override
	public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
		PeerHandler handler = this.handlers.get(message.getBodyCase());
		if (!to.equals(this.view.self().host()) || handler == null) {
			return Future.succeededFuture(new PeerReply.NotDelivered("no such router or no handler for the message"));
		}
		NodeId self = NodeId.newBuilder().setHost(to.value()).setIncarnation(this.view.self().incarnation()).build();
		return handler.handle(self, message.setFrom(self).build())
			.map((reply) -> (PeerReply) new PeerReply.Answered(reply.setFrom(self).build()))
			.otherwise((cause) -> new PeerReply.Lost(String.valueOf(cause.getMessage())));
	}

	@Override
	public void register(PeerMessage.BodyCase body, PeerHandler handler) {
		this.handlers.put(body, handler);
	}

}
