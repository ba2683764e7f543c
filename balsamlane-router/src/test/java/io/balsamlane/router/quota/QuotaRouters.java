package io.balsamlane.router.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.quota.QuotaOwners;
import io.balsamlane.core.quota.QuotaTolerance;
import io.balsamlane.router.peer.PeerHandler;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Routers with quota services on one event loop, and a fake network between them. Frozen
 * routers receive their messages when they resume; each router has its own view of the
 * members.
 */
final class QuotaRouters implements AutoCloseable {

	static final CustomerId CUSTOMER = CustomerId.of("customer");

	private final Vertx vertx = Vertx.vertx();

	private final List<Member> members;

	private final Map<HostName, Network> networks = new HashMap<>();

	private final Map<HostName, QuotaService> services = new HashMap<>();

	private final Map<HostName, Deque<Runnable>> frozen = new HashMap<>();

	private final Set<HostName> unreachable = new HashSet<>();

	private final List<String> events = new ArrayList<>();

	private int messages;

	private QuotaRouters(int size) {
		this.members = IntStream.range(0, size)
			.mapToObj((number) -> new Member(HostName.of("host-" + number), 1, Place.of("place"),
					Endpoint.of("127.0.0.1", 1 + number)))
			.toList();
	}

	static QuotaRouters start(int size, QuotaTolerance tolerance) throws Exception {
		QuotaRouters routers = new QuotaRouters(size);
		routers.onLoop(() -> {
			routers.members.forEach((member) -> {
				Network network = routers.new Network(member);
				routers.networks.put(member.host(), network);
				QuotaService service = QuotaService.create(routers.vertx, network, tolerance, false,
						RandomSource.XO_RO_SHI_RO_128_PP.create(1), routers.new Events());
				service.start();
				routers.services.put(member.host(), service);
			});
			return null;
		});
		return routers;
	}

	<T> T onLoop(Callable<T> action) throws Exception {
		Promise<T> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			try {
				done.complete(action.call());
			}
			catch (Exception ex) {
				done.fail(ex);
			}
		});
		return done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	/** The owner of the quota if all routers are members, followed by its deputies. */
	List<HostName> candidates() {
		return QuotaOwners.of(new MemberView(this.members.get(0), this.members)).candidates(CUSTOMER);
	}

	/** A router that no other one asks. */
	HostName other() {
		return this.members.stream()
			.map(Member::host)
			.filter((host) -> !candidates().contains(host))
			.findFirst()
			.orElseThrow();
	}

	QuotaDecision acquire(HostName at, CustomerQuota quota, long version, long tokens) throws Exception {
		return onLoop(() -> this.services.get(at).acquire(CUSTOMER, quota, version, tokens)).toCompletionStage()
			.toCompletableFuture()
			.get(10, TimeUnit.SECONDS);
	}

	boolean granted(HostName at, CustomerQuota quota, long tokens) throws Exception {
		return acquire(at, quota, 1, tokens) instanceof QuotaDecision.Granted;
	}

	void giveBack(HostName at, QuotaDecision decision) throws Exception {
		onLoop(() -> {
			this.services.get(at).giveBack(((QuotaDecision.Granted) decision).grant());
			return null;
		});
		settle();
	}

	/** Wait until messages that were sent have been handled. */
	void settle() throws Exception {
		for (int i = 0; i < 5; i++) {
			onLoop(() -> null);
		}
	}

	void freeze(HostName host) throws Exception {
		onLoop(() -> this.frozen.put(host, new ArrayDeque<>()));
	}

	void resume(HostName host) throws Exception {
		onLoop(() -> {
			this.frozen.remove(host).forEach(Runnable::run);
			return null;
		});
		settle();
	}

	void disconnect(HostName host) throws Exception {
		onLoop(() -> this.unreachable.add(host));
	}

	/** Set the view of one router to all members except the given ones. */
	void removeFromView(HostName viewer, List<HostName> removed) throws Exception {
		onLoop(() -> {
			this.networks.get(viewer)
				.setMembers(this.members.stream().filter((member) -> !removed.contains(member.host())).toList());
			return null;
		});
	}

	List<HostName> hosts() {
		return this.members.stream().map(Member::host).toList();
	}

	int messages() {
		return this.messages;
	}

	List<String> events() {
		return this.events;
	}

	@Override
	public void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private Future<PeerReply> call(HostName from, HostName to, PeerMessage message, long timeoutMillis) {
		Promise<PeerReply> reply = Promise.promise();
		this.messages++;
		this.vertx.setTimer(timeoutMillis, (id) -> reply.tryComplete(new PeerReply.Lost("no reply")));
		if (this.unreachable.contains(to) || this.unreachable.contains(from)) {
			return reply.future();
		}
		Runnable delivery = () -> this.networks.get(to).handlers.get(message.getBodyCase())
			.handle(NodeId.newBuilder().setHost(from.value()).setIncarnation(1).build(), message)
			.onSuccess((answer) -> reply.tryComplete(new PeerReply.Answered(answer.build())));
		if (this.frozen.containsKey(to)) {
			this.frozen.get(to).add(delivery);
		}
		else {
			this.vertx.runOnContext((ignored) -> delivery.run());
		}
		return reply.future();
	}

	private final class Network implements PeerNetwork {

		private final Map<PeerMessage.BodyCase, PeerHandler> handlers = new EnumMap<>(PeerMessage.BodyCase.class);

		private final List<Consumer<MemberView>> listeners = new ArrayList<>();

		private final Member self;

		private MemberView view;

		Network(Member self) {
			this.self = self;
			this.view = new MemberView(self, QuotaRouters.this.members);
		}

		void setMembers(List<Member> alive) {
			this.view = new MemberView(this.self, alive);
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
			return QuotaRouters.this.call(this.self.host(), to, message.build(), timeoutMillis);
		}

		@Override
		public void register(PeerMessage.BodyCase body, PeerHandler handler) {
			this.handlers.put(body, handler);
		}

	}

	private final class Events implements QuotaListener {

		@Override
		public void decided(String kind) {
			QuotaRouters.this.events.add(kind);
		}

		@Override
		public void refusalsStarted(CustomerId customer, Optional<HostName> decidedBy, long viewAgeMillis) {
			QuotaRouters.this.events.add("started " + customer + " " + decidedBy.map(HostName::value).orElse("local"));
		}

		@Override
		public void refusalsEnded(CustomerId customer, long refused, long lastedMillis) {
			QuotaRouters.this.events.add("ended " + customer + " " + refused);
		}

	}

}
