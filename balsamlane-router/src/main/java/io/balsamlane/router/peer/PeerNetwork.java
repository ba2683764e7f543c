package io.balsamlane.router.peer;

import java.util.function.Consumer;

import io.balsamlane.core.membership.MemberView;
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

}
