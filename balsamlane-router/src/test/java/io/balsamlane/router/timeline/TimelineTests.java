package io.balsamlane.router.timeline;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.router.peer.PeerHandler;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.Event;
import io.balsamlane.schema.EventKind;
import io.balsamlane.schema.EventQuery;
import io.balsamlane.schema.EventReply;
import io.balsamlane.schema.PeerMessage;
import io.vertx.core.Future;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Timeline} and {@link EventCollector}. Guards against effects listed
 * before their causes, memory use that grows with the number of events, and an
 * unreachable router that prevents the events of the others from being returned.
 */
class TimelineTests {

	@Test
	void retainsNewestEventsWithinCapacity() {
		Timeline timeline = Timeline.create("a", 16, () -> 1000);
		for (int number = 0; number < 100; number++) {
			timeline.record(EventKind.REQUEST_ACCEPTED, "r" + number, 1, "", "");
		}
		EventReply reply = timeline.find(EventQuery.getDefaultInstance());
		assertThat(reply.getEventsList()).extracting(Event::getRequestId).hasSize(16).startsWith("r84").endsWith("r99");
		assertThat(reply.getOverwritten()).isEqualTo(84);
		assertThat(timeline.size()).isEqualTo(16);
	}

	@Test
	void ordersEffectAfterCauseWhenItsClockIsBehind() {
		Timeline ahead = Timeline.create("a", 16, () -> 5000);
		Timeline behind = Timeline.create("b", 16, () -> 1000);
		ahead.record(EventKind.CONFIGURATION_ACCEPTED, "", 0, "", "");
		behind.observe(ahead.now());
		behind.record(EventKind.CONFIGURATION_APPLIED, "", 0, "", "");
		EventQuery all = EventQuery.getDefaultInstance();
		assertThat(Timeline.merge(all, List.of(behind.find(all), ahead.find(all))).getEventsList())
			.extracting(Event::getKind)
			.containsExactly(EventKind.CONFIGURATION_ACCEPTED, EventKind.CONFIGURATION_APPLIED);
	}

	@Test
	void findsByRequestSubjectHostRevisionAndPeriod() {
		Timeline timeline = Timeline.create("a", 16, () -> 2000);
		timeline.record(EventKind.REQUEST_GRANTED, "r1", 1, "prefill-1 > decode-1", "");
		timeline.recordRevision(EventKind.CONFIGURATION_APPLIED, 7, "");
		EventQuery.Builder any = EventQuery.newBuilder();
		assertThat(timeline.find(any.clone().setRequestId("r1").build()).getEventsCount()).isEqualTo(1);
		assertThat(timeline.find(any.clone().setSubject("decode-1").build()).getEventsCount()).isEqualTo(1);
		assertThat(timeline.find(any.clone().setRevision(7).build()).getEventsCount()).isEqualTo(1);
		assertThat(timeline.find(any.clone().setHost("b").build()).getEventsCount()).isZero();
		assertThat(timeline.find(any.clone().setFromHybridTime(2001L << 16).build()).getEventsCount()).isZero();
		assertThat(timeline.find(any.clone().setToHybridTime(1999L << 16).build()).getEventsCount()).isZero();
	}

	@Test
	void collectsFromReachableMembersAndReportsMissingOnes() throws Exception {
		Timeline own = Timeline.create("a", 16, () -> 1000);
		Timeline other = Timeline.create("b", 16, () -> 1000);
		own.record(EventKind.REQUEST_ACCEPTED, "r1", 1, "", "");
		other.record(EventKind.REQUEST_GRANTED, "r1", 1, "", "");
		EventReply reply = EventCollector.create(own, new TwoPeerNetwork(other))
			.collect(EventQuery.newBuilder().setRequestId("r1").build())
			.toCompletionStage()
			.toCompletableFuture()
			.get(5, TimeUnit.SECONDS);
		assertThat(reply.getEventsList()).extracting(Event::getHost).containsExactly("a", "b");
		assertThat(reply.getAnsweredList()).containsExactly("a", "b");
		assertThat(reply.getMissingList()).containsExactly("c");
	}

	/**
	 * Network of the routers a (the local one), b (reachable) and c (unreachable).
	 */
	private record TwoPeerNetwork(Timeline b) implements PeerNetwork {

		@Override
		public MemberView members() {
			return new MemberView(member("a"), List.of(member("a"), member("b"), member("c")));
		}

		private static Member member(String host) {
			return new Member(HostName.of(host), 1, Place.of("doto-a"), Endpoint.of("127.0.0.1", 1));
		}

		@Override
		public void addMemberListener(Consumer<MemberView> listener) {
			// The members never change.
		}

		@Override
		public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
			return Future.succeededFuture(to.value().equals("b")
					? new PeerReply.Answered(
							PeerMessage.newBuilder().setEventReply(this.b.find(message.getEventQuery())).build())
					: new PeerReply.NotDelivered("dead"));
		}

		@Override
		public void register(PeerMessage.BodyCase body, PeerHandler handler) {
			// The peers of this test send no queries.
		}

	}

}
