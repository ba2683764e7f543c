package io.balsamlane.core.scheduling;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the placement of requests with regard to cached prefixes, slow engines and
 * failed engines.
 */
class SchedulerPlacementTests {

	private static final List<Long> BLOCKS = LongStream.range(1, 13).boxed().toList();

	@Test
	void promptsWithSharedPrefixAreRoutedToTheEngineThatCachedIt() {
		SchedulerFixture fixture = new SchedulerFixture(4, 2, 100);
		GrantReply first = runToCompletion(fixture, "first", requestWithSharedPrefix("first"));
		for (int i = 0; i < 20; i++) {
			assertThat(runToCompletion(fixture, "r" + i, requestWithSharedPrefix("r" + i)).getPrefillServer())
				.isEqualTo(first.getPrefillServer());
		}
	}

	@Test
	void lateEvictionAndLostEventsCorrectThePlacement() {
		SchedulerFixture fixture = new SchedulerFixture(2, 2, 100);
		GrantReply first = runToCompletion(fixture, "first", requestWithSharedPrefix("first"));
		String holder = first.getPrefillServer();
		fixture.scheduler.observeCache(holder, List.of(new CacheEvent(1, false, BLOCKS.get(0))));
		assertThat(fixture.submitAndGetGrant(requestWithSharedPrefix("again")).getExpectedPrefillMillis())
			.isGreaterThan(300);
		fixture.update("again", GrantUpdate.Kind.RELEASED);
		// Events 2 to 199 are lost, so the cache contents of the engine are unknown.
		fixture.scheduler.observeCache("p0", List.of(new CacheEvent(200, true, 99)));
		fixture.scheduler.observeCache("p1", List.of(new CacheEvent(200, true, 99)));
		assertThat(fixture.submitAndGetGrant(requestWithSharedPrefix("afterwards")).getExpectedPrefillMillis())
			.isGreaterThan(300);
	}

	private static GrantRequest.Builder requestWithSharedPrefix(String id) {
		return SchedulerFixture.request(id, 3200, 20).addAllPrefixHashes(BLOCKS);
	}

	private static GrantReply runToCompletion(SchedulerFixture fixture, String id, GrantRequest.Builder request) {
		GrantReply reply = fixture.submitAndGetGrant(request);
		fixture.tick(400);
		fixture.update(id, GrantUpdate.Kind.PREFILL_DONE);
		fixture.update(id, GrantUpdate.Kind.RELEASED);
		fixture.tick(100);
		return reply;
	}

	@Test
	void slowPrefillEngineIsDetectedWithinTwoSecondsAndItsRecoveryIsDetected() {
		SchedulerFixture fixture = new SchedulerFixture(3, 3, 100);
		runPrefills(fixture, 60, 1, "warm");
		runPrefills(fixture, 20, 5, "slow");
		assertThat(fixture.engine("p0").straggler()).isTrue();
		long slowGrants = runPrefills(fixture, 60, 5, "later");
		assertThat(slowGrants).as("grants of 60 on the slow engine").isLessThanOrEqualTo(4);
		runPrefills(fixture, 1500, 1, "recovered");
		assertThat(fixture.engine("p0").straggler()).isFalse();
	}

	// Runs one prefill of 50 ms every 100 ms; on engine p0 it takes factor times as long.
	private static long runPrefills(SchedulerFixture fixture, int count, int factor, String name) {
		long slowGrants = 0;
		for (int i = 0; i < count; i++) {
			String id = name + i;
			GrantReply reply = fixture.submitAndGetGrant(SchedulerFixture.request(id, 500, 20));
			boolean slow = reply.getPrefillServer().equals("p0");
			slowGrants += slow ? 1 : 0;
			int millis = slow ? 50 * factor : 50;
			IntStream.range(0, millis / 10).forEach((ignored) -> fixture.tick(10));
			fixture.update(id, GrantUpdate.Kind.PREFILL_DONE);
			fixture.tick(20);
			fixture.update(id, GrantUpdate.Kind.RELEASED);
			fixture.tick(30);
		}
		return slowGrants;
	}

	@Test
	void frozenDecodeEngineIsDetectedWithoutAnyReportFromIt() {
		SchedulerFixture fixture = new SchedulerFixture(3, 3, 100);
		for (int i = 0; i < 30; i++) {
			String id = "r" + i;
			boolean frozen = fixture.submitAndGetGrant(SchedulerFixture.request(id, 100, 20))
				.getDecodeServer()
				.equals("d0");
			fixture.tick(10);
			fixture.update(id, GrantUpdate.Kind.PREFILL_DONE);
			fixture.tick(15);
			if (!frozen) {
				fixture.update(id, GrantUpdate.Kind.FIRST_TOKEN);
				fixture.update(id, GrantUpdate.Kind.RELEASED);
			}
			fixture.tick(25);
		}
		assertThat(fixture.nowNanos).isLessThan(2000 * SchedulerFixture.NANOS_PER_MILLI);
		assertThat(fixture.engine("d0").straggler()).isTrue();
	}

	@Test
	void uniformlySlowPoolRemainsUsable() {
		SchedulerFixture fixture = new SchedulerFixture(1, 2, 100);
		for (int i = 0; i < 40; i++) {
			String id = "r" + i;
			fixture.submitAndGetGrant(SchedulerFixture.request(id, 100, 20));
			fixture.tick(10);
			fixture.update(id, GrantUpdate.Kind.PREFILL_DONE);
			fixture.tick(300);
			fixture.update(id, GrantUpdate.Kind.FIRST_TOKEN);
			fixture.update(id, GrantUpdate.Kind.RELEASED);
		}
		assertThat(fixture.scheduler.view().engines()).extracting(SchedulerView.EngineView::straggler)
			.filteredOn((straggler) -> straggler)
			.hasSizeLessThan(2);
	}

	@Test
	void repeatedlyFailingEngineReceivesNoGrantsWhileOthersAreHealthy() {
		SchedulerFixture fixture = new SchedulerFixture(1, 2, 100);
		for (int i = 0; i < 2; i++) {
			fixture.submitAndGetGrant(SchedulerFixture.request("f" + i, 10, 10));
			fixture.scheduler.update(io.balsamlane.schema.GrantUpdate.newBuilder()
				.setRequestId("f" + i)
				.setAttempt(1)
				.setKind(GrantUpdate.Kind.FAILED)
				.setServer("d0")
				.build(), fixture.nowNanos);
		}
		IntStream.range(0, 10)
			.forEach((i) -> assertThat(
					fixture.submitAndGetGrant(SchedulerFixture.request("r" + i, 10, 10)).getDecodeServer())
				.isEqualTo("d1"));
	}

}
