package io.balsamlane.router.timeline;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.model.HostName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.EventReply;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;

/**
 * Collects the events of all members, and gives the events of this process to others.
 */
public final class EventGatherer {

	private static final long CALL_TIMEOUT_MILLIS = 2000;

	private final Timeline timeline;

	private final PeerNetwork network;

	private EventGatherer(Timeline timeline, PeerNetwork network) {
		this.timeline = timeline;
		this.network = network;
	}

	/**
	 * Creates a gatherer and registers it for queries of other routers.
	 * @param timeline events of this process
	 * @param network the other routers
	 * @return the gatherer
	 */
	public static EventGatherer create(Timeline timeline, PeerNetwork network) {
		network.register(PeerMessage.BodyCase.EVENT_QUERY, (from, message) -> Future
			.succeededFuture(PeerMessage.newBuilder().setEventReply(timeline.find(message.getEventQuery()))));
		return new EventGatherer(timeline, network);
	}

	/**
	 * Finds events of all members.
	 * @param query the conditions
	 * @return the merged events, with the members that did not answer; never fails
	 */
	public Future<EventReply> gather(EventQuery query) {
		List<Future<EventReply>> calls = new ArrayList<>();
		calls.add(Future.succeededFuture(this.timeline.find(query)));
		HostName self = this.network.members().self().host();
		this.network.members()
			.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.forEach((member) -> calls.add(ask(member.host(), query)));
		return Future.all(calls).map((all) -> Timeline.merge(query, all.list()));
	}

	private Future<EventReply> ask(HostName host, EventQuery query) {
		return this.network.call(host, PeerMessage.newBuilder().setEventQuery(query), CALL_TIMEOUT_MILLIS)
			.map((reply) -> (reply instanceof PeerReply.Answered answered && answered.message().hasEventReply())
					? answered.message().getEventReply() : EventReply.newBuilder().addMissing(host.value()).build());
	}

}
