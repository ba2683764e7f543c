package io.balsamlane.router.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * In-memory networks of several routers in one process and on one event loop. Routers can
 * be isolated: calls to and from an isolated router get no reply.
 */
public final class LoopbackNetworks {

	private final Vertx vertx;

	private final List<Member> members;

	private final Map<HostName, Map<PeerMessage.BodyCase, PeerHandler>> handlers = new HashMap<>();

	private final Set<HostName> isolated = ConcurrentHashMap.newKeySet();

	private final AtomicLong calls = new AtomicLong();

	public LoopbackNetworks(Vertx vertx, List<Member> members) {
		this.vertx = vertx;
		this.members = members;
	}

	public PeerNetwork of(Member self) {
		return new Network(self);
	}

	public void isolate(HostName host) {
		this.isolated.add(host);
	}

	public void rejoin(HostName host) {
		this.isolated.remove(host);
	}

	public long calls() {
		return this.calls.get();
	}

	private Future<PeerReply> call(HostName from, HostName to, PeerMessage message, long timeoutMillis) {
		Promise<PeerReply> reply = Promise.promise();
		this.calls.incrementAndGet();
		this.vertx.setTimer(timeoutMillis, (id) -> reply.tryComplete(new PeerReply.Lost("no reply")));
		this.vertx.runOnContext((ignored) -> {
			if (this.isolated.contains(from) || this.isolated.contains(to)) {
				return;
			}
			this.handlers.get(to)
				.get(message.getBodyCase())
				.handle(NodeId.newBuilder().setHost(from.value()).setIncarnation(1).build(), message)
				.onSuccess((answer) -> {
					if (!this.isolated.contains(from) && !this.isolated.contains(to)) {
						reply.tryComplete(new PeerReply.Answered(answer.build()));
					}
				});
		});
		return reply.future();
	}

	private final class Network implements PeerNetwork {

		private final Member self;

		Network(Member self) {
			this.self = self;
			LoopbackNetworks.this.handlers.put(self.host(), new HashMap<>());
		}

		@Override
		public MemberView members() {
			return new MemberView(this.self, LoopbackNetworks.this.members);
		}

		@Override
		public void addMemberListener(Consumer<MemberView> listener) {
		}

		@Override
		public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
			return LoopbackNetworks.this.call(this.self.host(), to, message.build(), timeoutMillis);
		}

		@Override
		public void register(PeerMessage.BodyCase body, PeerHandler handler) {
			LoopbackNetworks.this.handlers.get(this.self.host()).put(body, handler);
		}

	}

}
