package io.balsamlane.router.engine;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.schema.OwnedReply;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * The attempts that this router carries; answers auditors that ask about them. Safe for
 * use by several threads.
 */
public final class CarriedAttempts {

	private final Set<String> attempts = ConcurrentHashMap.newKeySet();

	private CarriedAttempts() {
	}

	/**
	 * Creates an empty set that answers queries.
	 * @param network receives the queries
	 * @return the set
	 */
	public static CarriedAttempts create(PeerNetwork network) {
		CarriedAttempts carried = new CarriedAttempts();
		network.register(PeerMessage.BodyCase.OWNED_QUERY, (from, message) -> {
			OwnedReply.Builder reply = OwnedReply.newBuilder();
			message.getOwnedQuery()
				.getAttemptsList()
				.stream()
				.filter(carried.attempts::contains)
				.forEach(reply::addCarried);
			return Future.succeededFuture(PeerMessage.newBuilder().setOwnedReply(reply));
		});
		return carried;
	}

	/**
	 * Adds an attempt; must precede its first order to an engine.
	 * @param attempt request id and attempt number
	 */
	public void add(String attempt) {
		this.attempts.add(attempt);
	}

	/**
	 * Removes an attempt that has ended.
	 * @param attempt request id and attempt number
	 */
	public void remove(String attempt) {
		this.attempts.remove(attempt);
	}

}
