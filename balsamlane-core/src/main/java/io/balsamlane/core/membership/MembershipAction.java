package io.balsamlane.core.membership;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.Probe;

/**
 * An action that the failure detector asks its caller to perform, or a change that it
 * reports. Actions must be handled in the order of the returned list.
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
	 * Exchange the full member table with a peer over TCP.
	 *
	 * @param host the peer
	 * @param endpoint its address
	 */
	record Synchronize(HostName host, Endpoint endpoint) implements MembershipAction {
	}

	/**
	 * A member joined, or rejoined after it had left or been removed.
	 *
	 * @param member the member
	 */
	record Joined(Member member) implements MembershipAction {
	}

	/**
	 * A member is suspected to have failed and can still refute it.
	 *
	 * @param member the member
	 */
	record Suspected(Member member) implements MembershipAction {
	}

	/**
	 * A member announced that it is leaving; it no longer owns any key.
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
	 * Other members had removed this node, and it has refuted the removal with a higher
	 * incarnation. The caller must revalidate everything that it held under the removed
	 * incarnation before it acts on it.
	 *
	 * @param removedIncarnation the incarnation that was removed
	 * @param incarnation the new incarnation
	 */
	record RemovalRefuted(long removedIncarnation, long incarnation) implements MembershipAction {
	}

	/**
	 * This process was paused; other members may have removed it during the pause.
	 *
	 * @param gapMillis length of the pause, in milliseconds
	 */
	record Paused(long gapMillis) implements MembershipAction {
	}

	/**
	 * A peer announced a configuration revision higher than any known before.
	 *
	 * @param from the peer, on which the revision is in force
	 * @param revision the revision
	 */
	record RevisionAnnounced(HostName from, long revision) implements MembershipAction {
	}

	/**
	 * The members that are eligible to own keys have changed.
	 *
	 * @param view the new view
	 */
	record ViewChanged(MemberView view) implements MembershipAction {
	}

}
