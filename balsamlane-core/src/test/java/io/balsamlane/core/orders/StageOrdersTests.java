package io.balsamlane.core.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.balsamlane.core.model.ServerName;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StageOrders}. Guards against orders without a lease, against orders of
 * two holders in quick succession, and against a second order while the first may still
 * take effect. Times are in milliseconds.
 */
class StageOrdersTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final OrderLimits LIMITS = new OrderLimits(14_000 * NANOS_PER_MILLI, 3_200 * NANOS_PER_MILLI,
			1_000 * NANOS_PER_MILLI, 5_000 * NANOS_PER_MILLI, 25, 60, 1024);

	private static final Optional<StageChange> CHANGE = Optional.of(new StageChange(ServerName.of("p1"), "decode"));

	private final Store store = new Store();

	private final Router first = new Router("first", 1);

	private final Router second = new Router("second", 2);

	@Test
	void noCallsAreMadeWithoutRequestedChange() {
		this.first.orders.update(true, Optional.empty());
		this.first.run(0, 20_000);
		assertThat(this.store.calls).isZero();
		assertThat(this.first.issuedMillis).isEmpty();
	}

	@Test
	void orderIsIssuedUnderLeaseWithItsFencingNumber() {
		this.first.orders.update(true, CHANGE);
		this.first.run(0, 10_000);
		assertThat(this.first.issuedMillis).hasSize(1);
		assertThat(this.first.fencing).containsExactly(this.store.version);
	}

	@Test
	void nextOrderIsDelayedUntilEngineHasChanged() {
		this.first.orders.update(true, CHANGE);
		this.first.run(0, 40_000);
		assertThat(this.first.issuedMillis).hasSizeGreaterThan(1);
		for (int index = 1; index < this.first.issuedMillis.size(); index++) {
			assertThat(this.first.issuedMillis.get(index) - this.first.issuedMillis.get(index - 1))
				.isGreaterThanOrEqualTo(10_000);
		}
	}

	@Test
	void orderOfUnknownOutcomeDelaysNextOrderUntilItCannotTakeEffect() {
		this.first.answer = OrderEvent.OrderOutcomeUnknown::new;
		this.first.orders.update(true, CHANGE);
		this.first.run(0, 30_000);
		assertThat(this.first.issuedMillis).hasSizeGreaterThan(1);
		assertThat(this.first.issuedMillis.get(1) - this.first.issuedMillis.get(0)).isGreaterThanOrEqualTo(6_400);
	}

	@Test
	void firstOrderOfSuccessorFollowsLastOrderOfPredecessorByThreeSeconds() {
		for (long handoverMillis = 3_000; handoverMillis < 20_000; handoverMillis += 700) {
			Store fresh = new Store();
			Router predecessor = new Router("before", handoverMillis, fresh);
			Router successor = new Router("after", handoverMillis + 1, fresh);
			predecessor.orders.update(true, CHANGE);
			for (long now = 0; now < 60_000; now += 50) {
				if (now == handoverMillis - handoverMillis % 50) {
					predecessor.orders.update(false, Optional.empty());
					successor.orders.update(true, CHANGE);
				}
				predecessor.tick(now);
				successor.tick(now);
			}
			assertThat(successor.issuedMillis).isNotEmpty();
			predecessor.issuedMillis
				.forEach((last) -> assertThat(successor.issuedMillis.get(0) - last).isGreaterThanOrEqualTo(3_000));
			assertThat(successor.fencing.get(0))
				.isGreaterThan(predecessor.fencing.stream().mapToLong(Long::longValue).max().orElse(0));
		}
	}

	@Test
	void successorIssuesOrderOnlyAfterLeaseOfStoppedPredecessorExpired() {
		this.first.orders.update(true, CHANGE);
		this.first.run(0, 5_000);
		this.second.orders.update(true, CHANGE);
		this.second.run(5_000, 40_000);
		assertThat(this.second.issuedMillis.get(0) - this.first.issuedMillis.get(0)).isGreaterThanOrEqualTo(3_000);
		assertThat(this.second.fencing.get(0)).isGreaterThan(this.first.fencing.get(0));
	}

	// Guards against orders of two holders in quick succession: the store loses the lease
	// of
	// a holder that does not know of its restoration.
	@Test
	void leaseThatRestoredStoreLostIsNotTakenWhileItsHolderMayIssueOrders() {
		for (long restoredMillis = 500; restoredMillis < 20_000; restoredMillis += 300) {
			Store restored = new Store();
			Router holder = new Router("holder", restoredMillis, restored);
			Router other = new Router("other", restoredMillis + 1, restored);
			holder.orders.update(true, CHANGE);
			holder.run(0, restoredMillis);
			Store.Copy copy = new Store().copy();
			restored.restore(copy);
			long lastMillis = restoredMillis;
			other.orders.update(true, CHANGE);
			other.orders.storeRestored(restoredMillis * NANOS_PER_MILLI);
			holder.isolated = true;
			for (long now = restoredMillis; now < restoredMillis + 60_000; now += 50) {
				holder.tick(now);
				other.tick(now);
				lastMillis = holder.issuedMillis.stream().mapToLong(Long::longValue).max().orElse(restoredMillis);
			}
			assertThat(other.issuedMillis).isNotEmpty();
			assertThat(other.issuedMillis.get(0) - lastMillis).as("restored at %s ms", restoredMillis)
				.isGreaterThanOrEqualTo(3_000);
		}
	}

	// Guards against a lease number that the restored store has given to another router
	// and
	// that the holder of before revokes, and against a holder that waits for itself.
	@Test
	void holderAcquiresLeaseAnewAfterRestoration() {
		this.first.orders.update(true, CHANGE);
		this.first.run(0, 5_000);
		assertThat(this.first.orders.held(5_000 * NANOS_PER_MILLI)).isTrue();
		this.store.restore(new Store().copy());
		this.first.orders.storeRestored(5_000 * NANOS_PER_MILLI);
		assertThat(this.first.orders.held(5_000 * NANOS_PER_MILLI)).isFalse();
		this.first.run(5_000, 30_000);
		assertThat(this.first.issuedMillis).hasSizeGreaterThan(1);
		assertThat(this.first.revocations).isZero();
		assertThat(this.first.fencing.get(1)).isGreaterThan(this.first.fencing.get(0));
	}

	// Guards against an answer of before the restoration that makes its router a holder.
	@Test
	void answerToCallOfBeforeRestorationIsIgnored() {
		this.first.orders.update(true, CHANGE);
		List<OrderAction> actions = this.first.orders.tick(0);
		OrderAction.ReadHolder read = (OrderAction.ReadHolder) actions.get(0);
		this.first.orders.storeRestored(0);
		assertThat(this.first.orders.handle(new OrderEvent.HolderAbsent(read.call()), 1)).isEmpty();
	}

	/** Store with a single key that is attached to a lease. */
	private static final class Store {

		/** Versions of a later era are higher. */
		private static final long ERA = 1L << 40;

		private long version = 10;

		private String holder;

		private long lease;

		private long leaseEndMillis;

		private int calls;

		Copy copy() {
			return new Copy(this.version, this.holder, this.lease, this.leaseEndMillis);
		}

		void restore(Copy copy) {
			this.version = copy.version() + ERA;
			this.holder = copy.holder();
			this.lease = copy.lease();
			this.leaseEndMillis = copy.leaseEndMillis();
		}

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
					return new OrderEvent.LeaseNotFound(renew.call());
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

		private record Copy(long version, String holder, long lease, long leaseEndMillis) {
		}

	}

	/** Router that executes its actions immediately. */
	private final class Router {

		private final Store routerStore;

		private final StageOrders orders;

		private final List<Long> issuedMillis = new ArrayList<>();

		private final List<Long> fencing = new ArrayList<>();

		private boolean isolated;

		private int revocations;

		private java.util.function.LongFunction<OrderEvent> answer = OrderEvent.OrderAccepted::new;

		Router(String host, long seed) {
			this(host, seed, StageOrdersTests.this.store);
		}

		Router(String host, long seed, Store routerStore) {
			this.routerStore = routerStore;
			this.orders = StageOrders.create(host, LIMITS, 10_000 * NANOS_PER_MILLI,
					RandomSource.XO_RO_SHI_RO_128_PP.create(seed), 0);
		}

		void run(long fromMillis, long toMillis) {
			for (long now = fromMillis; now < toMillis; now += 50) {
				tick(now);
			}
		}

		private static OrderEvent failure(OrderAction action) {
			if (action instanceof OrderAction.RenewLease renew) {
				return new OrderEvent.StoreFailed(renew.call());
			}
			if (action instanceof OrderAction.ReadHolder read) {
				return new OrderEvent.StoreFailed(read.call());
			}
			return new OrderEvent.StoreFailed(((OrderAction.GrantLease) action).call());
		}

		void tick(long nowMillis) {
			execute(this.orders.tick(nowMillis * NANOS_PER_MILLI), nowMillis);
		}

		private void execute(List<OrderAction> actions, long nowMillis) {
			for (OrderAction action : actions) {
				if (action instanceof OrderAction.IssueOrder issue) {
					assertThat(this.orders.held(nowMillis * NANOS_PER_MILLI)).isTrue();
					this.issuedMillis.add(nowMillis);
					this.fencing.add(issue.fencing());
					execute(this.orders.handle(this.answer.apply(issue.call()), nowMillis * NANOS_PER_MILLI),
							nowMillis);
				}
				else if (action instanceof OrderAction.RevokeLease) {
					this.revocations++;
					this.routerStore.holder = null;
				}
				else if (this.isolated) {
					execute(this.orders.handle(failure(action), nowMillis * NANOS_PER_MILLI), nowMillis);
				}
				else {
					execute(this.orders.handle(this.routerStore.answer(action, nowMillis), nowMillis * NANOS_PER_MILLI),
							nowMillis);
				}
			}
		}

	}

}
