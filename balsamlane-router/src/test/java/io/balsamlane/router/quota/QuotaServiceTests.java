package io.balsamlane.router.quota;

import java.util.List;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.quota.QuotaTolerance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link QuotaService} with fake peers that stop answering, answer late or have
 * different views of the members. Guards against quotas that are exceeded or lost because
 * of it, and against requests that wait for routers that do not answer.
 */
class QuotaServiceTests {

	/** The tolerance is so large that an owner starts with the burst. */
	private static final QuotaTolerance WIDE = QuotaTolerance.DEFAULT;

	private static final QuotaTolerance NARROW = new QuotaTolerance(8, 0.1, 0);

	/** Slow enough that no tokens are added during a test that matter. */
	private static final CustomerQuota SLOW = new CustomerQuota(100, 6000, 200);

	private QuotaRouters routers;

	private HostName owner;

	private HostName deputy;

	private void start(QuotaTolerance tolerance) throws Exception {
		this.routers = QuotaRouters.start(6, tolerance);
		this.owner = this.routers.candidates().get(0);
		this.deputy = this.routers.candidates().get(1);
	}

	@AfterEach
	void close() throws Exception {
		this.routers.close();
	}

	@Test
	void allRoutersDrawOnOneBucketAndRetryTimeIsWhenItHasRoom() throws Exception {
		start(WIDE);
		CustomerQuota quota = new CustomerQuota(10_000, 6000, 200);
		assertThat(this.routers.granted(this.routers.other(), quota, 3000)).isTrue();
		assertThat(this.routers.granted(this.deputy, quota, 3000)).isTrue();
		QuotaDecision refused = this.routers.acquire(this.routers.other(), quota, 1, 3000);
		assertThat(refused).isInstanceOfSatisfying(QuotaDecision.Exceeded.class,
				(exceeded) -> assertThat(exceeded.retryAfterMillis()).isBetween(150, 340));
		Thread.sleep(((QuotaDecision.Exceeded) refused).retryAfterMillis() + 5);
		assertThat(this.routers.granted(this.owner, quota, 3000)).isTrue();
		assertThat(this.routers.events()).contains("started customer " + this.owner);
	}

	@Test
	void requestsWithoutLimitOrCostNeedNoMessage() throws Exception {
		start(WIDE);
		assertThat(this.routers.granted(this.routers.other(), CustomerQuota.UNLIMITED, 3000)).isTrue();
		assertThat(this.routers.granted(this.routers.other(), SLOW, 0)).isTrue();
		assertThat(this.routers.messages()).isZero();
	}

	@Test
	void returnedTokensAreGrantedAgainOnce() throws Exception {
		start(WIDE);
		HostName other = this.routers.other();
		QuotaDecision first = this.routers.acquire(other, SLOW, 1, 6000);
		assertThat(this.routers.granted(other, SLOW, 3000)).isFalse();
		this.routers.giveBack(other, first);
		this.routers.giveBack(other, first);
		assertThat(this.routers.granted(other, SLOW, 6000)).isTrue();
		assertThat(this.routers.granted(other, SLOW, 3000)).isFalse();
	}

	// After 2 s the call has ended, and no reply shows whether the owner took the tokens.
	@ParameterizedTest
	@ValueSource(longs = { 500, 2500 })
	void tokensThatFrozenOwnerTakesLateAreReturned(long frozenMillis) throws Exception {
		start(WIDE);
		assertThat(this.routers.granted(this.owner, SLOW, 1)).isTrue();
		this.routers.freeze(this.owner);
		long startNanos = System.nanoTime();
		assertThat(this.routers.granted(this.routers.other(), SLOW, 3000)).isTrue();
		assertThat(System.nanoTime() - startNanos).isBetween(140_000_000L, 1_000_000_000L);
		Thread.sleep(frozenMillis);
		this.routers.resume(this.owner);
		this.routers.settle();
		assertThat(this.routers.granted(this.owner, SLOW, 5900)).isTrue();
	}

	@Test
	void onlyFirstRequestWaitsForSilentRouters() throws Exception {
		start(WIDE);
		for (HostName candidate : this.routers.candidates()) {
			this.routers.disconnect(candidate);
		}
		HostName other = this.routers.other();
		CustomerQuota quota = new CustomerQuota(100_000, 100_000, 200);
		this.routers.acquire(other, quota, 1, 100);
		int messages = this.routers.messages();
		assertThat(messages).isEqualTo(3);
		long startNanos = System.nanoTime();
		for (int i = 0; i < 20; i++) {
			this.routers.acquire(other, quota, 1, 100);
		}
		assertThat(System.nanoTime() - startNanos).isLessThan(140_000_000L);
		assertThat(this.routers.messages()).isEqualTo(messages);
		assertThat(this.routers.events()).contains("refused-locally").doesNotContain("granted");
	}

	@Test
	void silentOwnerIsAskedAgainAndThenDecides() throws Exception {
		start(WIDE);
		HostName other = this.routers.other();
		assertThat(this.routers.granted(this.owner, SLOW, 6000)).isTrue();
		this.routers.freeze(this.owner);
		assertThat(this.routers.granted(other, SLOW, 3000)).isTrue();
		this.routers.resume(this.owner);
		Thread.sleep(600);
		assertThat(this.routers.granted(other, SLOW, 3000)).isFalse();
	}

	@Test
	void newOwnerStartsWithoutTheBurst() throws Exception {
		start(NARROW);
		CustomerQuota quota = new CustomerQuota(1000, 10_000, 200);
		for (HostName host : this.routers.hosts()) {
			this.routers.removeFromView(host, List.of(this.owner));
		}
		HostName other = this.routers.other();
		QuotaDecision decision = this.routers.acquire(other, quota, 1, 3000);
		// The new owner starts with 112 tokens and gets 833 tokens a second, or a little
		// more for the larger part of a fleet.
		assertThat(decision).isInstanceOfSatisfying(QuotaDecision.Exceeded.class,
				(exceeded) -> assertThat(exceeded.retryAfterMillis()).isBetween(2800, 3900));
		assertThat(this.routers.events()).contains("started customer " + this.deputy);
	}

	// The first owner has granted its burst; the second one may add only what the
	// tolerance allows.
	@Test
	void secondOwnerOfDifferentViewGrantsPartOfTolerance() throws Exception {
		start(NARROW);
		CustomerQuota quota = new CustomerQuota(10_000, 10_000, 200);
		HostName other = this.routers.other();
		this.routers.removeFromView(other, List.of(this.owner));
		long tokens = 0;
		for (int i = 0; i < 100; i++) {
			tokens += this.routers.granted(other, quota, 100) ? 100 : 0;
		}
		// Start tokens of 562 and a reduced rate; the burst would be 10,000.
		assertThat(tokens).isBetween(500L, 2000L);
		assertThat(this.routers.events()).contains("started customer " + this.deputy);
	}

	@Test
	void smallPartOfPartitionedFleetGrantsItsShareOfTheRate() throws Exception {
		start(NARROW);
		CustomerQuota quota = new CustomerQuota(60_000, 60_000, 200);
		List<HostName> hosts = this.routers.hosts();
		HostName alone = this.routers.other();
		assertThat(this.routers.granted(alone, quota, 1)).isTrue();
		this.routers.removeFromView(alone, hosts.stream().filter((host) -> !host.equals(alone)).toList());
		long tokens = 0;
		long startNanos = System.nanoTime();
		while (System.nanoTime() - startNanos < 1_000_000_000L) {
			tokens += this.routers.granted(alone, quota, 100) ? 100 : 0;
			Thread.sleep(1);
		}
		// A sixth of the rate and the start tokens of 6,750.
		assertThat(tokens).isBetween(10_000L, 18_000L);
	}

	@Test
	void loweredQuotaBindsRoutersThatDoNotKnowItYet() throws Exception {
		start(WIDE);
		CustomerQuota lowered = new CustomerQuota(100, 1000, 200);
		assertThat(this.routers.acquire(this.deputy, lowered, 2, 500)).isInstanceOf(QuotaDecision.Granted.class);
		assertThat(this.routers.acquire(this.routers.other(), SLOW, 1, 3000))
			.isInstanceOf(QuotaDecision.Exceeded.class);
	}

	@Test
	void endOfRefusalsIsReported() throws Exception {
		start(WIDE);
		HostName other = this.routers.other();
		this.routers.acquire(other, SLOW, 1, 6000);
		this.routers.acquire(other, SLOW, 1, 3000);
		this.routers.acquire(other, SLOW, 1, 3000);
		long deadlineNanos = System.nanoTime() + 6_000_000_000L;
		while (!this.routers.events().contains("ended customer 2") && System.nanoTime() < deadlineNanos) {
			Thread.sleep(50);
		}
		assertThat(this.routers.events()).containsOnlyOnce("started customer " + this.owner)
			.contains("ended customer 2");
	}

}
