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
 * Collect the events of all members and answer event queries of other routers.
 */
public final class EventCollector {

	private static final long CALL_TIMEOUT_MILLIS = 2000;

	private final Timeline timeline;

	private final PeerNetwork network;

	private EventCollector(Timeline timeline, PeerNetwork network) {
		this.timeline = timeline;
		this.network = network;
	}

	/**
	 * Create a collector and register a handler for event queries of other routers.
	 * @param timeline the events of this process
	 * @param network the peer network
	 * @return the collector
	 */
	public static EventCollector create(Timeline timeline, PeerNetwork network) {
		network.register(PeerMessage.BodyCase.EVENT_QUERY, (from, message) -> Future
			.succeededFuture(PeerMessage.newBuilder().setEventReply(timeline.find(message.getEventQuery()))));
		return new EventCollector(timeline, network);
	}

	/**
	 * Collect matching events from all members.
	 * @param query the conditions on the events
	 * @return a future of the merged events and the members that did not answer, which
	 * never fails
	 */
	public Future<EventReply> collect(EventQuery query) {
		List<Future<EventReply>> calls = new ArrayList<>();
		calls.add(Future.succeededFuture(this.timeline.find(query)));
		HostName self = this.network.members().self().host();
		this.network.members()
			.members()
			.stream()
			.filter((member) -> !member.host().equals(self))
			.forEach((member) -> calls.add(query(member.host(), query)));
		return Future.all(calls).map((all) -> Timeline.merge(query, all.list()));
	}

	private Future<EventReply> query(HostName host, EventQuery query) {
		return this.network.call(host, PeerMessage.newBuilder().setEventQuery(query), CALL_TIMEOUT_MILLIS)
			.map((reply) -> (reply instanceof PeerReply.Answered answered && answered.message().hasEventReply())
					? answered.message().getEventReply() : EventReply.newBuilder().addMissing(host.value()).build());
	}

}
