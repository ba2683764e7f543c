package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.balsamlane.core.model.ServerName;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against orders without a lease, orders of two holders close to each other, and a
 * second order while the first may still take effect. Times are in milliseconds.
 */
class StageOrdersTests {

	private static final long MILLI = 1_000_000;

	private static final OrderLimits LIMITS = new OrderLimits(14_000 * MILLI, 3_200 * MILLI, 1_000 * MILLI,
			5_000 * MILLI, 25, 60, 1024);

	private static final Optional<StageChange> WISH = Optional.of(new StageChange(ServerName.of("p1"), "decode"));

	private final Store store = new Store();

	private final Router first = new Router("first", 1);

	private final Router second = new Router("second", 2);

	@Test
	void nothingIsCalledWithoutAWish() {
		this.first.orders.update(true, Optional.empty());
		this.first.run(0, 20_000);
		assertThat(this.store.calls).isZero();
		assertThat(this.first.issuedMillis).isEmpty();
	}

	@Test
	void orderIsGivenUnderTheLeaseWithItsFencingNumber() {
		this.first.orders.update(true, WISH);
		this.first.run(0, 10_000);
		assertThat(this.first.issuedMillis).hasSize(1);
		assertThat(this.first.fencing).containsExactly(this.store.version);
	}

	@Test
	void nextOrderWaitsUntilTheEngineHasChanged() {
		this.first.orders.update(true, WISH);
		this.first.run(0, 40_000);
		assertThat(this.first.issuedMillis).hasSizeGreaterThan(1);
		for (int index = 1; index < this.first.issuedMillis.size(); index++) {
			assertThat(this.first.issuedMillis.get(index) - this.first.issuedMillis.get(index - 1))
				.isGreaterThanOrEqualTo(10_000);
		}
	}

	@Test
	void undecidedOrderKeepsTheRouterQuietUntilItCannotTakeEffect() {
		this.first.answer = OrderEvent.OrderUndecided::new;
		this.first.orders.update(true, WISH);
		this.first.run(0, 30_000);
		assertThat(this.first.issuedMillis).hasSizeGreaterThan(1);
		assertThat(this.first.issuedMillis.get(1) - this.first.issuedMillis.get(0)).isGreaterThanOrEqualTo(6_400);
	}

	@Test
	void successorsFirstOrderComesThreeSecondsAfterTheLastOneOfItsPredecessor() {
		for (long handOver = 3_000; handOver < 20_000; handOver += 700) {
			Store fresh = new Store();
			Router before = new Router("before", handOver, fresh);
			Router after = new Router("after", handOver + 1, fresh);
			before.orders.update(true, WISH);
			for (long now = 0; now < 60_000; now += 50) {
				if (now == handOver - handOver % 50) {
					before.orders.update(false, Optional.empty());
					after.orders.update(true, WISH);
				}
				before.tick(now);
				after.tick(now);
			}
			assertThat(after.issuedMillis).isNotEmpty();
			before.issuedMillis
				.forEach((last) -> assertThat(after.issuedMillis.get(0) - last).isGreaterThanOrEqualTo(3_000));
			assertThat(after.fencing.get(0))
				.isGreaterThan(before.fencing.stream().mapToLong(Long::longValue).max().orElse(0));
		}
	}

	@Test
	void predecessorThatFallsSilentIsOutlivedByItsLease() {
		this.first.orders.update(true, WISH);
		this.first.run(0, 5_000);
		this.second.orders.update(true, WISH);
		this.second.run(5_000, 40_000);
		assertThat(this.second.issuedMillis.get(0) - this.first.issuedMillis.get(0)).isGreaterThanOrEqualTo(3_000);
		assertThat(this.second.fencing.get(0)).isGreaterThan(this.first.fencing.get(0));
	}

	/** A store with one key under a lease. */
	private static final class Store {

		private long version = 10;

		private String holder;

		private long lease;

		private long leaseEndMillis;

		private int calls;

		void expire(long nowMillis) {
			if (this.holder != null && nowMillis >= this.leaseEndMillis) {
				this.holder = null;
			}
		}

		OrderEvent answer(OrderAction action, long nowMillis) {
			expire(nowMillis);
			this.calls++;
			if (action instanceof OrderAction.ReadHolder read) {
				return (this.holder == null) ? new OrderEvent.HolderAbsent(read.call())
						: new OrderEvent.HolderFound(read.call(), this.holder, this.version);
			}
			if (action instanceof OrderAction.GrantLease grant) {
				return new OrderEvent.LeaseGranted(grant.call(), ++this.version);
			}
			if (action instanceof OrderAction.RenewLease renew) {
				if (renew.lease() != this.lease || this.holder == null) {
					return new OrderEvent.LeaseGone(renew.call());
				}
				this.leaseEndMillis = nowMillis + 14_000;
				return new OrderEvent.LeaseRenewed(renew.call());
			}
			OrderAction.WriteHolder write = (OrderAction.WriteHolder) action;
			if (this.holder != null) {
				return new OrderEvent.HolderRefused(write.call());
			}
			this.holder = write.holder();
			this.lease = write.lease();
			this.leaseEndMillis = nowMillis + 14_000;
			return new OrderEvent.HolderWritten(write.call(), ++this.version);
		}

	}

	/** A router that carries out its actions at once. */
	private final class Router {

		private final Store at;

		private final StageOrders orders;

		private final List<Long> issuedMillis = new ArrayList<>();

		private final List<Long> fencing = new ArrayList<>();

		private java.util.function.LongFunction<OrderEvent> answer = OrderEvent.OrderAccepted::new;

		Router(String host, long seed) {
			this(host, seed, StageOrdersTests.this.store);
		}

		Router(String host, long seed, Store at) {
			this.at = at;
			this.orders = StageOrders.create(host, LIMITS, 10_000 * MILLI,
					RandomSource.XO_RO_SHI_RO_128_PP.create(seed), 0);
		}

		void run(long fromMillis, long toMillis) {
			for (long now = fromMillis; now < toMillis; now += 50) {
				tick(now);
			}
		}

		void tick(long nowMillis) {
			perform(this.orders.tick(nowMillis * MILLI), nowMillis);
		}

		private void perform(List<OrderAction> actions, long nowMillis) {
			for (OrderAction action : actions) {
				if (action instanceof OrderAction.IssueOrder issue) {
					assertThat(this.orders.held(nowMillis * MILLI)).isTrue();
					this.issuedMillis.add(nowMillis);
					this.fencing.add(issue.fencing());
					perform(this.orders.handle(this.answer.apply(issue.call()), nowMillis * MILLI), nowMillis);
				}
				else if (action instanceof OrderAction.RevokeLease) {
					this.at.holder = null;
				}
				else {
					perform(this.orders.handle(this.at.answer(action, nowMillis), nowMillis * MILLI), nowMillis);
				}
			}
		}

	}

}
