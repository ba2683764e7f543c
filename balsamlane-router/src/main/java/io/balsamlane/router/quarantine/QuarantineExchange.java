package io.balsamlane.router.quarantine;

import java.util.List;
import java.util.concurrent.Executor;

import io.balsamlane.core.model.HostName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exchanges quarantines between pairs of routers periodically, so that a router that was
 * restarted or cut off when a quarantine was announced learns of it, as in the
 * anti-entropy of Demers et al., "Epidemic algorithms for replicated database
 * maintenance" (1987).
 */
public final class QuarantineExchange {

	/** Well below the time after which a restarted or reconnected router is judged. */
	private static final long INTERVAL_MILLIS = 1000;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	private final Vertx vertx;

	private final Executor loop;

	private final PeerNetwork peers;

	private final QuarantineTable table;

	private final UniformRandomProvider random;

	private QuarantineExchange(Vertx vertx, Executor loop, PeerNetwork peers, QuarantineTable table,
			UniformRandomProvider random) {
		this.vertx = vertx;
		this.loop = loop;
		this.peers = peers;
		this.table = table;
		this.random = random;
	}

	/**
	 * Create an exchange.
	 * @param vertx provides timers
	 * @param loop executes on the event loop of the table
	 * @param peers the other routers
	 * @param table quarantines of this router
	 * @param random selects the partner of each exchange
	 * @return the exchange, not started
	 */
	public static QuarantineExchange create(Vertx vertx, Executor loop, PeerNetwork peers, QuarantineTable table,
			UniformRandomProvider random) {
		return new QuarantineExchange(vertx, loop, peers, table, random);
	}

	/**
	 * Start to exchange quarantines, and to handle the messages of other routers.
	 */
	public void start() {
		this.peers.register(PeerMessage.BodyCase.QUARANTINE_SYNC, (from, message) -> {
			Promise<PeerMessage.Builder> reply = Promise.promise();
			this.loop.execute(() -> {
				this.table.apply(message.getQuarantineSync().getEntriesList(), from.getHost());
				reply.complete(PeerMessage.newBuilder().setQuarantineSync(this.table.entries()));
			});
			return reply.future();
		});
		this.vertx.setPeriodic(INTERVAL_MILLIS, (id) -> this.loop.execute(this::exchange));
	}

	private void exchange() {
		HostName self = this.peers.members().self().host();
		List<HostName> others = this.peers.members()
			.members()
			.stream()
			.map((member) -> member.host())
			.filter((host) -> !host.equals(self))
			.toList();
		if (others.isEmpty()) {
			return;
		}
		HostName partner = others.get(this.random.nextInt(others.size()));
		this.peers.call(partner, PeerMessage.newBuilder().setQuarantineSync(this.table.entries()), CALL_TIMEOUT_MILLIS)
			.onSuccess((reply) -> {
				if (reply instanceof PeerReply.Answered answered) {
					this.loop.execute(() -> this.table.apply(answered.message().getQuarantineSync().getEntriesList(),
							partner.value()));
				}
			});
	}

}
