package io.balsamlane.router.peer;

import java.util.function.Consumer;

import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.membership.MembershipAction;
import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * The other routers: who is alive, and calls to them.
 */
public interface PeerNetwork {

	/**
	 * Returns the present members. Safe for use by any thread.
	 * @return the members
	 */
	MemberView members();

	/**
	 * Adds a listener that receives each change of the members.
	 * @param listener the listener; it must not block
	 */
	void addMemberListener(Consumer<MemberView> listener);

	/**
	 * Calls a router; a call to this router itself goes to its own handler.
	 * @param to the router
	 * @param message the message, its body set; the network fills in the other fields
	 * @param timeoutMillis longest wait for the reply, in milliseconds
	 * @return the outcome; the future never fails
	 */
	Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis);

	/**
	 * Registers the handler of one kind of message. Handlers run on the event loop of the
	 * network and must not block.
	 * @param body the kind of message
	 * @param handler answers messages of that kind
	 */
	void register(PeerMessage.BodyCase body, PeerHandler handler);

	/**
	 * Announces the configuration revision in force on this node, with the next probes
	 * and at once to some members.
	 * @param revision the revision
	 */
	default void announceRevision(long revision) {
	}

	/**
	 * Adds a listener that receives each revision above all that were heard of before,
	 * and the peer that has it in force. It runs like a handler.
	 * @param listener the listener; it must not block
	 */
	default void addRevisionListener(Consumer<MembershipAction.RevisionAnnounced> listener) {
	}

	/**
	 * Notes that this node has just heard from the store; probes carry the age.
	 */
	default void storeContacted() {
	}

	/**
	 * Returns the time since this node, or the peer it heard of it from, last heard from
	 * the store.
	 * @return the age in milliseconds, the highest number if there was no contact
	 */
	default long storeAgeMillis() {
		return 0;
	}

	/**
	 * Returns the time since any peer was last heard.
	 * @return the age in milliseconds, counted from the start if none was heard
	 */
	default long peerAgeMillis() {
		return 0;
	}

	/**
	 * Tells whether this node may rely on its membership: false from the end of a pause
	 * of the process until a peer has answered.
	 * @return true if no pause is unresolved
	 */
	default boolean confirmed() {
		return true;
	}

	/**
	 * Adds a listener that hears when the others had removed this node. It runs on the
	 * peer thread before this node tells anyone its new incarnation.
	 * @param listener the listener; it must not block
	 */
	default void addRemovalListener(Consumer<MembershipAction.RemovalRefuted> listener) {
	}

}
