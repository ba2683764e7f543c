package io.balsamlane.core.membership;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.Probe;

/**
 * What the failure detector asks its caller to do, in the order of the list.
 */
public sealed interface MembershipAction {

	/**
	 * Send a datagram.
	 *
	 * @param to the receiver
	 * @param probe the message
	 */
	record Send(Endpoint to, Probe probe) implements MembershipAction {
	}

	/**
	 * Exchange the whole member table with a peer over TCP.
	 *
	 * @param host the peer
	 * @param with its address
	 */
	record Synchronize(HostName host, Endpoint with) implements MembershipAction {
	}

	/**
	 * A member joined or came back.
	 *
	 * @param member the member
	 */
	record Joined(Member member) implements MembershipAction {
	}

	/**
	 * A member gave no answer and may refute.
	 *
	 * @param member the member
	 */
	record Suspected(Member member) implements MembershipAction {
	}

	/**
	 * A member announced that it is leaving; it owns nothing any more.
	 *
	 * @param member the member
	 */
	record Left(Member member) implements MembershipAction {
	}

	/**
	 * A member was removed.
	 *
	 * @param member the member
	 */
	record Removed(Member member) implements MembershipAction {
	}

	/**
	 * Others had removed this node. It has taken a higher incarnation and must validate
	 * what it held under the earlier one before it acts on it.
	 *
	 * @param removedIncarnation the incarnation that was removed
	 * @param incarnation the incarnation from now on
	 */
	record RemovalRefuted(long removedIncarnation, long incarnation) implements MembershipAction {
	}

	/**
	 * This process did not run for a while; others may have removed it meanwhile.
	 *
	 * @param gapMillis length of the pause, in milliseconds
	 */
	record Paused(long gapMillis) implements MembershipAction {
	}

	/**
	 * A peer announced a configuration revision above all that were heard of before.
	 *
	 * @param from the peer, which has the revision in force
	 * @param revision the revision
	 */
	record RevisionHeard(HostName from, long revision) implements MembershipAction {
	}

	/**
	 * The members that may own something have changed.
	 *
	 * @param view the members
	 */
	record ViewChanged(MemberView view) implements MembershipAction {
	}

}
