package io.balsamlane.router.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MembershipAction;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.EventKind;

/**
 * Recorder of membership changes in the timeline and in the log.
 */
final class MembershipEvents {

	private static final Logger logger = System.getLogger(MembershipEvents.class.getName());

	private MembershipEvents() {
	}

	static void record(Timeline timeline, HostName self, MembershipAction action) {
		if (action instanceof MembershipAction.Joined joined) {
			record(timeline, EventKind.MEMBER_JOINED, joined.member(), "joined");
		}
		else if (action instanceof MembershipAction.Suspected suspected) {
			record(timeline, EventKind.MEMBER_SUSPECTED, suspected.member(), "suspected");
		}
		else if (action instanceof MembershipAction.Left left) {
			record(timeline, EventKind.MEMBER_REMOVED, left.member(), "leaving");
		}
		else if (action instanceof MembershipAction.Removed removed) {
			record(timeline, EventKind.MEMBER_REMOVED, removed.member(), "removed");
		}
		else if (action instanceof MembershipAction.RemovalRefuted refuted) {
			timeline.record(EventKind.MEMBER_JOINED, "", 0, self.value(),
					"removed as incarnation " + refuted.removedIncarnation() + ", back as " + refuted.incarnation());
			logger.log(Level.WARNING, "Other routers had removed this router; rejoining with incarnation {0,number,#}",
					refuted.incarnation());
		}
		else if (action instanceof MembershipAction.Paused paused) {
			logger.log(Level.WARNING, "Process was paused for {0,number,#} ms", paused.gapMillis());
		}
	}

	private static void record(Timeline timeline, EventKind kind, Member member, String verb) {
		timeline.record(kind, "", 0, member.host().value(), verb + ", incarnation " + member.incarnation());
		logger.log(Level.INFO, "Router {0} {1}, incarnation {2,number,#}", member.host(), verb, member.incarnation());
	}

}
