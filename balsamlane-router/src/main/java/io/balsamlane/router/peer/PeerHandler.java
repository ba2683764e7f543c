package io.balsamlane.router.peer;

import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * Handler for the requests of one message type.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Handle a request.
	 * @param from the sender
	 * @param message the request
	 * @return the reply with its body set
	 */
	Future<PeerMessage.Builder> handle(NodeId from, PeerMessage message);

}
