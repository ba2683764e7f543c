package io.balsamlane.router.peer;

import java.util.function.Consumer;

import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.membership.MembershipAction;
import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * Membership of the routers, and calls between them.
 */
public interface PeerNetwork {

	/**
	 * Return the current members. This method is thread-safe.
	 * @return the members
	 */
	MemberView members();

	/**
	 * Add a listener that is notified of each change of the members.
	 * @param listener the listener, which must not block
	 */
	void addMemberListener(Consumer<MemberView> listener);

	/**
	 * Call a router. A call to this router is dispatched to its own handler.
	 * @param to the router
	 * @param message the message with its body set; the network sets the other fields
	 * @param timeoutMillis the maximum time to wait for the reply, in milliseconds
	 * @return the outcome; the future never fails
	 */
	Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis);

	/**
	 * Register the handler for one message type. Handlers run on the event loop of the
	 * network and must not block.
	 * @param body the message type
	 * @param handler the handler for messages of that type
	 */
	void register(PeerMessage.BodyCase body, PeerHandler handler);

	/**
	 * Announce the configuration revision that is in force on this node, with the next
	 * probes and immediately to some members.
	 * @param revision the revision
	 */
	default void announceRevision(long revision) {
	}

	/**
	 * Add a listener that is notified of each revision that is higher than all revisions
	 * announced before, together with the peer on which it is in force. The listener runs
	 * on the event loop of the handlers.
	 * @param listener the listener, which must not block
	 */
	default void addRevisionListener(Consumer<MembershipAction.RevisionAnnounced> listener) {
	}

	/**
	 * Record a contact of this node with the store, just now. Probes carry the time since
	 * the last contact.
	 */
	default void recordStoreContact() {
	}

	/**
	 * Return the time since the last known contact with the store, either by this node or
	 * by a peer that reported it in a probe.
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} if no contact is known
	 */
	default long storeAgeMillis() {
		return 0;
	}

	/**
	 * Return the time since a probe was last received from a peer.
	 * @return the age in milliseconds, measured from the start if none was received
	 */
	default long peerAgeMillis() {
		return 0;
	}

	/**
	 * Return whether this node may rely on its membership. It may not from the end of a
	 * pause of the process until a peer has acknowledged a probe.
	 * @return false after a pause that no peer has confirmed yet
	 */
	default boolean confirmed() {
		return true;
	}

	/**
	 * Add a listener that is notified when other routers had removed this node. It runs
	 * on the peer thread before this node announces its new incarnation.
	 * @param listener the listener, which must not block
	 */
	default void addRemovalListener(Consumer<MembershipAction.RemovalRefuted> listener) {
	}

}
