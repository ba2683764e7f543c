package io.balsamlane.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import io.balsamlane.schema.Caller;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantUpdate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards admission: which requests are granted, queued, shed or refused.
 */
class SchedulerAdmissionTests {

	@Test
	void requestThatCannotMeetItsDeadlineIsRefusedImmediately() {
		SchedulerFixture fixture = new SchedulerFixture(2, 2, 40);
		List<GrantReply> replies = fixture.submit(SchedulerFixture.request("long", 20_000, 10));
		assertThat(replies).singleElement().satisfies((reply) -> {
			assertThat(reply.getRefusalKind()).isEqualTo("deadline");
			assertThat(reply.getRetryAfterMillis()).isPositive();
		});
	}

	@Test
	void requestLargerThanEveryEngineIsRefusedAsTooLarge() {
		SchedulerFixture fixture = new SchedulerFixture(1, 1, 2);
		assertThat(fixture.submit(SchedulerFixture.request("large", 3000, 3000))).singleElement()
			.satisfies((reply) -> assertThat(reply.getRefusalKind()).isEqualTo("too-large"));
	}

	@Property(tries = 100, seed = "19")
	void everyRequestIsAnsweredByItsDeadline(@ForAll @IntRange(min = 1, max = 40) int arrivals,
			@ForAll @IntRange(min = 100, max = 9000) int tokens) {
		SchedulerFixture fixture = new SchedulerFixture(1, 1, 10);
		IntStream.range(0, arrivals).forEach((i) -> fixture.submit(SchedulerFixture.request("r" + i, tokens, 10)));
		for (int millis = 0; millis < 1100; millis += 10) {
			fixture.tick(10);
			IntStream.range(0, arrivals)
				.filter((i) -> fixture.replies.stream().noneMatch((reply) -> reply.getRequestId().equals("r" + i)))
				.forEach((i) -> fixture.submit(SchedulerFixture.request("r" + i, tokens, 10)));
		}
		assertThat(fixture.replies.stream().map(GrantReply::getRequestId).distinct()).hasSize(arrivals);
	}

	@Test
	void highestPriorityIsServedFirstAndLowestIsShedWhenTheQueueIsFull() {
		SchedulerFixture fixture = new SchedulerFixture(1, 1, 40);
		IntStream.range(0, 40).forEach((i) -> {
			fixture.submitAndGetGrant(SchedulerFixture.request("running" + i, 10, 10));
			fixture.update("running" + i, GrantUpdate.Kind.FIRST_TOKEN);
		});
		IntStream.range(0, SchedulerFixture.QUEUE_CAPACITY)
			.forEach((i) -> fixture.submit(SchedulerFixture.request("low" + i, 10, 10).setCaller("c" + i)));
		List<GrantReply> shed = fixture.submit(SchedulerFixture.request("high", 10, 10).setPriority(5));
		assertThat(shed).singleElement().satisfies((reply) -> {
			assertThat(reply.getRequestId()).startsWith("low");
			assertThat(reply.getRefusalKind()).isEqualTo("overloaded");
		});
		assertThat(fixture.update("running0", GrantUpdate.Kind.RELEASED)).singleElement()
			.satisfies((reply) -> assertThat(reply.getRequestId()).isEqualTo("high"));
	}

	@Test
	void lowPriorityIsServedWhileCapacityIsAvailable() {
		SchedulerFixture fixture = new SchedulerFixture(2, 2, 20);
		int granted = 0;
		for (int i = 0; i < 400; i++) {
			boolean low = i % 4 == 0;
			String id = (low ? "low" : "high") + i;
			fixture.submit(SchedulerFixture.request(id, 500, 20).setPriority(low ? 0 : 9));
			fixture.tick(50);
			fixture.update(id, GrantUpdate.Kind.PREFILL_DONE);
			fixture.update(id, GrantUpdate.Kind.FIRST_TOKEN);
			fixture.update(id, GrantUpdate.Kind.RELEASED);
		}
		granted = (int) fixture.replies.stream().filter(GrantReply::getGranted).count();
		assertThat(granted).isEqualTo(400);
	}

	@Test
	void floodingCallerDoesNotReduceTheShareOfOthers() {
		SchedulerFixture fixture = new SchedulerFixture(1, 1, 2);
		Map<String, Integer> granted = new HashMap<>();
		for (int round = 0; round < 200; round++) {
			for (int i = 0; i < 6; i++) {
				fixture.submit(SchedulerFixture.request("flood-" + round + "-" + i, 10, 10).setCaller("flood"));
			}
			fixture.submit(SchedulerFixture.request("calm-" + round, 10, 10).setCaller("calm"));
			fixture.tick(20);
			List<GrantReply> finished = List.copyOf(fixture.replies);
			fixture.replies.clear();
			finished.stream().filter(GrantReply::getGranted).forEach((reply) -> {
				granted.merge(reply.getRequestId().replaceAll("-.*", ""), 1, Integer::sum);
				fixture.update(reply.getRequestId(), GrantUpdate.Kind.RELEASED);
			});
		}
		assertThat(granted.get("calm")).isGreaterThanOrEqualTo(180);
		assertThat(granted.get("flood")).isGreaterThanOrEqualTo(granted.get("calm"));
	}

	@Test
	void quotaLimitsRequestsPerSecondWithoutLimitingOthers() {
		SchedulerFixture fixture = new SchedulerFixture(4, 4, 400);
		fixture.scheduler.setCallers(List.of(Caller.newBuilder().setName("limited").setRequestsPerSecond(10).build()),
				0);
		for (int i = 0; i < 400; i++) {
			fixture.submit(SchedulerFixture.request("limited" + i, 10, 10).setCaller("limited"));
			fixture.update("limited" + i, GrantUpdate.Kind.RELEASED);
			fixture.submit(SchedulerFixture.request("free" + i, 10, 10).setCaller("free"));
			fixture.update("free" + i, GrantUpdate.Kind.RELEASED);
			fixture.tick(10);
		}
		// 4 s at 10 requests/s plus a burst of one second.
		assertThat(countGranted(fixture, "limited")).isBetween(48L, 51L);
		assertThat(countGranted(fixture, "free")).isEqualTo(400);
		assertThat(fixture.replies).filteredOn((reply) -> !reply.getGranted())
			.allSatisfy((reply) -> assertThat(reply.getRefusalKind()).isEqualTo("quota-exceeded"));
	}

	@Test
	void tokenQuotaChargesGeneratedTokens() {
		SchedulerFixture fixture = new SchedulerFixture(4, 4, 400);
		fixture.scheduler.setCallers(List.of(Caller.newBuilder().setName("limited").setTokensPerSecond(1000).build()),
				0);
		for (int i = 0; i < 400; i++) {
			// Each request has 90 prompt tokens and generates 10 tokens.
			fixture.submit(SchedulerFixture.request("limited" + i, 90, 1000).setCaller("limited"));
			fixture.update("limited" + i, GrantUpdate.Kind.RELEASED);
			fixture.tick(10);
		}
		assertThat(countGranted(fixture, "limited")).isBetween(35L, 52L);
	}

	private static long countGranted(SchedulerFixture fixture, String prefix) {
		return fixture.replies.stream()
			.filter((reply) -> reply.getGranted() && reply.getRequestId().startsWith(prefix))
			.count();
	}

}
