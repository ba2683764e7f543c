package io.balsamlane.router.engine;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.schema.OwnedReply;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * Tracks the attempts that are in progress on this router, and answers the queries of
 * auditors on other routers. This class is thread-safe.
 */
public final class ActiveAttempts {

	private final Set<String> attempts = ConcurrentHashMap.newKeySet();

	private ActiveAttempts() {
	}

	/**
	 * Create an empty registry and register its handler for queries.
	 * @param network the peer network from which queries arrive
	 * @return the registry
	 */
	public static ActiveAttempts create(PeerNetwork network) {
		ActiveAttempts registry = new ActiveAttempts();
		network.register(PeerMessage.BodyCase.OWNED_QUERY, (from, message) -> {
			OwnedReply.Builder reply = OwnedReply.newBuilder();
			message.getOwnedQuery()
				.getAttemptsList()
				.stream()
				.filter(registry.attempts::contains)
				.forEach(reply::addCarried);
			return Future.succeededFuture(PeerMessage.newBuilder().setOwnedReply(reply));
		});
		return registry;
	}

	/**
	 * Add an attempt. This must happen before its first request is sent to an engine, so
	 * that no auditor takes the attempt for an orphan.
	 * @param attempt request id and attempt number
	 */
	public void add(String attempt) {
		this.attempts.add(attempt);
	}

	/**
	 * Remove an attempt that has ended.
	 * @param attempt request id and attempt number
	 */
	public void remove(String attempt) {
		this.attempts.remove(attempt);
	}

}
