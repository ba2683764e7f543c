package io.balsamlane.router.peer;

import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * Answers one kind of message.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Answers a message.
	 * @param from the sender
	 * @param message the message
	 * @return the reply, its body set
	 */
	Future<PeerMessage.Builder> handle(NodeId from, PeerMessage message);

}
