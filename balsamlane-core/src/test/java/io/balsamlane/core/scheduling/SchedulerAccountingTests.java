package io.balsamlane.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import io.balsamlane.schema.ActiveGrant;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantRequest;
import io.balsamlane.schema.GrantUpdate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against leaked or overcommitted engine memory when messages are reordered, lost
 * or duplicated.
 */
class SchedulerAccountingTests {

	private static final GrantUpdate.Kind[] UPDATE_KINDS = { GrantUpdate.Kind.PREFILL_DONE,
			GrantUpdate.Kind.FIRST_TOKEN, GrantUpdate.Kind.PROGRESS, GrantUpdate.Kind.RELEASED,
			GrantUpdate.Kind.FAILED };

	@Property(tries = 300, seed = "17")
	void reservedMemoryEqualsLiveGrantsAfterAnyInterleaving(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 4) int prefill, @ForAll @IntRange(min = 1, max = 4) int decode,
			@ForAll @IntRange(min = 3, max = 20) int memoryPieces) {
		SchedulerFixture fixture = new SchedulerFixture(prefill, decode, memoryPieces);
		Random random = new Random(seed);
		Map<String, GrantRequest> requests = new HashMap<>();
		for (int step = 0; step < 300; step++) {
			String id = "r" + random.nextInt(60);
			switch (random.nextInt(5)) {
				case 0, 1 -> {
					GrantRequest.Builder request = SchedulerFixture
						.request(id, 1 + random.nextInt(7000), 1 + random.nextInt(500))
						.setCaller("caller" + random.nextInt(3))
						.setPriority(random.nextInt(3));
					requests.putIfAbsent(id, request.build());
					fixture.submit(requests.get(id).toBuilder());
				}
				case 2 -> fixture.update(id, UPDATE_KINDS[random.nextInt(UPDATE_KINDS.length)]);
				case 3 -> fixture.tick(random.nextInt(60));
				default -> fixture.scheduler.renew(id, 1, fixture.nowNanos);
			}
			verifyAccounting(fixture);
		}
		fixture.tick(400);
		fixture.tick(3100);
		fixture.tick(3100);
		assertThat(fixture.scheduler.view().liveGrants()).isZero();
		assertThat(fixture.scheduler.view().waiting()).isZero();
		assertThat(fixture.totalReservedPieces()).isZero();
	}

	private static void verifyAccounting(SchedulerFixture fixture) {
		assertThat(fixture.scheduler.view().waiting()).isLessThanOrEqualTo(SchedulerFixture.QUEUE_CAPACITY);
		fixture.scheduler.view().engines().forEach((engine) -> {
			assertThat(engine.reservedPieces()).isBetween(0, engine.memoryPieces()).isEqualTo(engine.grantedPieces());
			assertThat(engine.liveGrants()).isNotNegative();
		});
	}

	@Property(tries = 200, seed = "18")
	void registeredGrantsAreCountedOnceAndReleasedWhenTheyEnd(@ForAll long seed) {
		SchedulerFixture first = new SchedulerFixture(2, 2, 40);
		SchedulerFixture second = new SchedulerFixture(2, 2, 40);
		Random random = new Random(seed);
		Map<String, ActiveGrant> live = new HashMap<>();
		for (int step = 0; step < 200; step++) {
			String id = "r" + random.nextInt(20);
			switch (random.nextInt(4)) {
				case 0 -> {
					GrantRequest.Builder request = SchedulerFixture.request(id, 1 + random.nextInt(5000), 50);
					first.submit(request)
						.stream()
						.filter(GrantReply::getGranted)
						.forEach((reply) -> live.put(reply.getRequestId(),
								ActiveGrant.newBuilder().setRequest(request).setReply(reply).build()));
				}
				case 1 -> {
					if (live.containsKey(id)) {
						second.scheduler.register(live.get(id), second.nowNanos);
					}
				}
				case 2 -> second.update(id, UPDATE_KINDS[random.nextInt(UPDATE_KINDS.length)]);
				default -> second.scheduler.renew(id, 1, second.nowNanos);
			}
			second.scheduler.view()
				.engines()
				.forEach((engine) -> assertThat(engine.reservedPieces()).isEqualTo(engine.grantedPieces()));
		}
		live.keySet().forEach((id) -> second.update(id, GrantUpdate.Kind.RELEASED));
		assertThat(second.totalReservedPieces()).isZero();
	}

	@Test
	void expiredGrantReleasesItsMemoryAndRenewedGrantKeepsIt() {
		SchedulerFixture fixture = new SchedulerFixture(1, 1, 40);
		fixture.submitAndGetGrant(SchedulerFixture.request("kept", 100, 100));
		fixture.submitAndGetGrant(SchedulerFixture.request("lost", 100, 100));
		for (int second = 0; second < 4; second++) {
			fixture.scheduler.renew("kept", 1, fixture.nowNanos);
			fixture.tick(1000);
		}
		assertThat(fixture.scheduler.view().liveGrants()).isEqualTo(1);
		assertThat(fixture.reservedPieces("d0")).isEqualTo(1);
		assertThat(fixture.scheduler.renew("lost", 1, fixture.nowNanos)).isFalse();
	}

	@Test
	void registrationReplacesGrantThatTheEntryRouterDidNotReceive() {
		SchedulerFixture fixture = new SchedulerFixture(1, 2, 40);
		GrantReply unreceived = fixture.submitAndGetGrant(SchedulerFixture.request("r", 100, 100));
		String other = unreceived.getDecodeServer().equals("d0") ? "d1" : "d0";
		GrantReply registered = unreceived.toBuilder().setDecodeServer(other).build();
		fixture.scheduler.register(ActiveGrant.newBuilder()
			.setRequest(SchedulerFixture.request("r", 100, 100))
			.setReply(registered)
			.build(), fixture.nowNanos);
		assertThat(fixture.reservedPieces(unreceived.getDecodeServer())).isZero();
		assertThat(fixture.reservedPieces(other)).isEqualTo(1);
	}

	@Test
	void memoryNotCoveredByGrantsIsNotGranted() {
		SchedulerFixture fixture = new SchedulerFixture(1, 1, 10);
		fixture.scheduler.observeLoad(new EngineLoad("d0", 10, 9, 0, 0, 0), fixture.nowNanos);
		assertThat(fixture.submit(SchedulerFixture.request("large", 2100, 100))).isEmpty();
		fixture.submit(SchedulerFixture.request("small", 100, 100));
		assertThat(fixture.tick(10)).extracting(GrantReply::getRequestId, GrantReply::getGranted)
			.contains(org.assertj.core.api.Assertions.tuple("small", true));
	}

}
