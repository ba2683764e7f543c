package io.balsamlane.core.quota;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.forwarding.CustomerQuota;
import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link QuotaOwner}, {@link LocalShares} and {@link FleetSize}: guards against
 * retry times without room, tokens that are returned twice, and shares that together
 * exceed the rate after pauses and changes of the members.
 */
class QuotaOwnerTests {

	private static final long SECOND = 1_000_000_000L;

	private static final CustomerId CUSTOMER = CustomerId.of("customer");

	private static final HostName HOST = HostName.of("host");

	private static final CustomerQuota QUOTA = new CustomerQuota(36_000, 36_000, 200);

	private static final QuotaTolerance TOLERANCE = QuotaTolerance.DEFAULT;

	private boolean owns = true;

	private final FleetSize fleet = FleetSize.create(1, 0);

	private final QuotaOwner owner = QuotaOwner.create(TOLERANCE, this.fleet, (customer) -> this.owns);

	private long sequence;

	private long ask(long tokens, long nowNanos) {
		return ask(QUOTA, 1, tokens, nowNanos);
	}

	private long ask(CustomerQuota quota, long version, long tokens, long nowNanos) {
		return this.owner.decide(HOST, ++this.sequence, new QuotaQuestion(CUSTOMER, quota, version, tokens), nowNanos);
	}

	private long grantedAt(long nowNanos) {
		long tokens = 0;
		while (ask(100, nowNanos) == 0) {
			tokens += 100;
		}
		return tokens;
	}

	@Test
	void refusedRequestsThatComeBackAtTheirTimesAreGranted() {
		grantedAt(0);
		List<Long> times = new ArrayList<>();
		for (int i = 0; i < 50; i++) {
			times.add(ask(3370, 0));
		}
		assertThat(times).doesNotHaveDuplicates().isSorted();
		times.forEach((time) -> assertThat(ask(3370, time)).isZero());
	}

	@Test
	void pausedOwnerIsCreditedAtMostTheBurst() {
		grantedAt(0);
		assertThat(grantedAt(60 * SECOND)).isBetween(35_900L, 36_000L);
	}

	@Test
	void timeThatGoesBackAddsNoTokens() {
		grantedAt(10 * SECOND);
		assertThat(grantedAt(5 * SECOND)).isZero();
		assertThat(grantedAt(10 * SECOND)).isZero();
	}

	@Test
	void ownerThatIsReplacedForAWhileDoesNotKeepItsBurst() {
		assertThat(ask(100, 0)).isZero();
		assertThat(ask(100, 10 * SECOND)).isZero();
		this.owns = false;
		this.owner.membersChanged(11 * SECOND);
		this.owns = true;
		this.owner.membersChanged(12 * SECOND);
		assertThat(grantedAt(12 * SECOND)).isLessThan((long) (TOLERANCE.startTokens(QUOTA) + 100));
	}

	@Test
	void loweredQuotaCutsTheBucketAtOnceAndOlderVersionsDoNotRaiseIt() {
		assertThat(ask(100, 0)).isZero();
		assertThat(ask(new CustomerQuota(1000, 1000, 200), 2, 100, 10 * SECOND)).isZero();
		assertThat(grantedAt(10 * SECOND)).isEqualTo(900);
		assertThat(grantedAt(20 * SECOND)).isEqualTo(1000);
	}

	@Test
	void requestAboveTheBurstIsGrantedFromAFullBucket() {
		CustomerQuota small = new CustomerQuota(1000, 1000, 200);
		assertThat(ask(small, 1, 5000, 0)).isZero();
		// 4,000 tokens are missing, and 1,000 are needed for a full bucket.
		long waitNanos = ask(small, 1, 5000, 0);
		assertThat(waitNanos).isBetween(5 * SECOND, 5 * SECOND + 10);
		assertThat(ask(small, 1, 5000, waitNanos)).isZero();
	}

	@Test
	void tokensAreReturnedOnceAndOnlyIfGranted() {
		grantedAt(0);
		long granted = this.sequence - 1;
		assertThat(this.owner.putBack(HostName.of("another"), granted, 0)).isFalse();
		assertThat(this.owner.putBack(HOST, granted, 0)).isTrue();
		assertThat(this.owner.putBack(HOST, granted, 0)).isFalse();
		assertThat(this.owner.putBack(HOST, this.sequence, 0)).isFalse();
		assertThat(grantedAt(0)).isEqualTo(100);
	}

	@Test
	void partsOfPartitionedFleetShareTheRate() {
		FleetSize small = FleetSize.create(1, 0);
		FleetSize large = FleetSize.create(1, 0);
		List.of(small, large).forEach((part) -> part.update(86, SECOND));
		small.update(30, 20 * SECOND);
		large.update(56, 20 * SECOND);
		double sum = small.share(QUOTA, TOLERANCE, 21 * SECOND) + large.share(QUOTA, TOLERANCE, 21 * SECOND);
		assertThat((sum - 1) * QUOTA.tokensPerSecond() * TOLERANCE.windowSeconds()).isLessThan(
				TOLERANCE.limit(QUOTA) - TOLERANCE.windowSeconds() * QUOTA.tokensPerSecond() - QUOTA.burstTokens());
		assertThat(small.share(QUOTA, TOLERANCE, 21 * SECOND)).isLessThan(0.36);
		// Routers that are gone for longer than any partition count no more.
		assertThat(small.share(QUOTA, TOLERANCE, 36 * SECOND)).isEqualTo(1);
	}

	@Test
	void routerThatStartsAloneUsesASmallShareUntilItKnowsTheFleet() {
		FleetSize starting = FleetSize.create(100, 0);
		assertThat(starting.share(QUOTA, TOLERANCE, SECOND / 2)).isLessThan(0.02);
		assertThat(starting.seen(SECOND / 2)).isZero();
		starting.update(7, SECOND / 2);
		assertThat(starting.share(QUOTA, TOLERANCE, 2 * SECOND)).isEqualTo(1);
		FleetSize joining = FleetSize.create(100, 0);
		joining.update(7, SECOND / 2);
		joining.recordReport(7, SECOND / 2);
		assertThat(joining.share(QUOTA, TOLERANCE, SECOND / 2)).isEqualTo(1);
	}

	@Test
	void sumOfLocalSharesStaysWithinTheToleranceOfASilentOwner() {
		int routers = 300;
		long admitted = 0;
		for (int router = 0; router < routers; router++) {
			FleetSize size = FleetSize.create(1, 0);
			size.update(routers, 0);
			LocalShares shares = LocalShares.create(TOLERANCE, size, RandomSource.XO_RO_SHI_RO_128_PP.create(router));
			QuotaQuestion question = new QuotaQuestion(CUSTOMER, QUOTA, 1, 3370);
			for (long time = SECOND; time < 4 * SECOND; time += SECOND / 10) {
				admitted += (shares.decide(question, time) == 0) ? 3370 : 0;
			}
		}
		double allowance = TOLERANCE.limit(QUOTA) - TOLERANCE.windowSeconds() * QUOTA.tokensPerSecond()
				- QUOTA.burstTokens();
		assertThat(admitted).isPositive().isLessThan((long) allowance);
	}

}
