package io.balsamlane.router.peer;

import io.balsamlane.schema.PeerMessage;

/**
 * Outcome of a call to another router.
 */
public sealed interface PeerReply {

	/**
	 * The peer answered.
	 *
	 * @param message the reply
	 */
	record Answered(PeerMessage message) implements PeerReply {
	}

	/**
	 * The message did not reach a handler.
	 *
	 * @param reason the cause
	 */
	record NotDelivered(String reason) implements PeerReply {
	}

	/**
	 * The message may have reached its handler, but no reply was received.
	 *
	 * @param reason the cause
	 */
	record Lost(String reason) implements PeerReply {
	}

}
