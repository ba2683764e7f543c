package io.balsamlane.core.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.balsamlane.core.model.CustomerId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that take capacity from more deserving ones, wait without
 * prospect, or are starved by smaller ones.
 */
class OverloadQueueTests {

	private static final long SECOND = 1_000_000_000L;

	private static final Optional<CustomerId> USUAL = Optional.of(CustomerId.of("usual"));

	private static final Optional<CustomerId> CROWD = Optional.of(CustomerId.of("crowd"));

	private final CustomerUsage usage = CustomerUsage.create();

	private final OverloadQueue<String> queue = OverloadQueue.create(4, this.usage);

	private final List<String> placed = new ArrayList<>();

	private static Demand demand(Optional<CustomerId> customer, int priority, long tokens, long arrivedNanos) {
		return new Demand(customer, priority, tokens, arrivedNanos, arrivedNanos + SECOND / 2,
				arrivedNanos + 3 * SECOND);
	}

	// Both customers send once a second for 60 s, then the crowd sends 30 requests.
	private long recordCrowd() {
		for (int second = 0; second < 60; second++) {
			this.usage.record(USUAL, 1000, second * SECOND);
			this.usage.record(CROWD, 1000, second * SECOND);
		}
		for (int request = 0; request < 30; request++) {
			this.usage.record(CROWD, 1000, 60 * SECOND);
		}
		return 60 * SECOND;
	}

	private boolean place(String request, Standing standing) {
		this.placed.add(request + " " + standing);
		return true;
	}

	@Test
	void placesOnTimeThenPriorityThenUsualCustomersThenOldest() {
		long now = recordCrowd();
		this.queue.offer("late", demand(USUAL, 0, 10, now - SECOND), now);
		this.queue.offer("crowd", demand(CROWD, 1, 10, now - 10), now);
		this.queue.offer("usual", demand(USUAL, 1, 10, now), now);
		this.queue.offer("urgent", demand(CROWD, 0, 10, now), now);
		this.queue.drain(this::place, now);
		assertThat(this.placed).containsExactly("urgent EXCESS", "usual ON_TIME", "crowd EXCESS", "late LATE");
		assertThat(this.queue.size()).isZero();
	}

	@Test
	void smallerRequestPassesLargeOneALimitedNumberOfTimes() {
		this.queue.offer("large", demand(USUAL, 1, 1000, 0), 0);
		for (int index = 1; index <= 8; index++) {
			this.queue.offer("small", demand(USUAL, 1, 10, index), index);
			this.queue.drain((request, standing) -> request.equals("small") && place(request, standing), index);
		}
		assertThat(this.placed).hasSize(4);
		assertThat(this.queue.size()).isEqualTo(4);
	}

	@Test
	void fullQueueRejectsTheLastInOrderInsteadOfTheNewest() {
		long now = recordCrowd();
		this.queue.offer("first", demand(USUAL, 1, 10, now), now);
		this.queue.offer("crowd", demand(CROWD, 1, 10, now), now);
		this.queue.offer("second", demand(USUAL, 1, 10, now), now);
		this.queue.offer("third", demand(USUAL, 1, 10, now), now);
		assertThat(this.queue.offer("fourth", demand(USUAL, 1, 10, now), now))
			.contains(new Rejection<>("crowd", Rejection.Reason.QUEUE_FULL));
	}

	@Test
	void lateRequestOfACrowdIsRejectedAtOnce() {
		long now = recordCrowd();
		this.queue.offer("crowd", demand(CROWD, 1, 10, now - SECOND), now);
		this.queue.offer("usual", demand(USUAL, 1, 10, now - SECOND), now);
		assertThat(this.queue.removeHopeless(now)).containsExactly(new Rejection<>("crowd", Rejection.Reason.EXCESS));
	}

	@Test
	void lateRequestWithoutProspectIsNotHeldUntilItExpires() {
		this.queue.offer("late", demand(USUAL, 1, 10, 0), 0);
		attemptWithoutCapacity(SECOND, 2 * SECOND - SECOND / 10);
		assertThat(this.queue.removeHopeless(2 * SECOND - SECOND / 10)).isEmpty();
		assertThat(this.queue.removeHopeless(2 * SECOND))
			.containsExactly(new Rejection<>("late", Rejection.Reason.NO_PROSPECT));
	}

	@Test
	void lateRequestKeepsWaitingAfterAPlacement() {
		this.queue.offer("first", demand(USUAL, 1, 10, 0), 0);
		this.queue.offer("second", demand(USUAL, 1, 10, 1), 0);
		attemptWithoutCapacity(SECOND, SECOND + SECOND / 2);
		this.queue.drain((request, standing) -> request.equals("first"), SECOND + SECOND / 2);
		attemptWithoutCapacity(SECOND + SECOND / 2, 2 * SECOND);
		assertThat(this.queue.removeHopeless(2 * SECOND)).isEmpty();
	}

	/** Guards against rejections after a load peak because of what was seen during it. */
	@Test
	void lateRequestIsTriedAgainAfterALoadPeak() {
		this.queue.offer("peak", demand(USUAL, 1, 10, 0), 0);
		attemptWithoutCapacity(SECOND, 2 * SECOND);
		assertThat(this.queue.removeHopeless(2 * SECOND)).hasSize(1);
		this.queue.offer("later", demand(USUAL, 1, 10, 59 * SECOND), 60 * SECOND);
		assertThat(this.queue.removeHopeless(60 * SECOND)).isEmpty();
		this.queue.drain(this::place, 60 * SECOND);
		assertThat(this.placed).containsExactly("later LATE");
	}

	private void attemptWithoutCapacity(long fromNanos, long toNanos) {
		for (long now = fromNanos; now <= toNanos; now += SECOND / 20) {
			this.queue.drain((request, standing) -> false, now);
		}
	}

	@Test
	void requestExpiresAtItsDeadline() {
		this.queue.offer("a", demand(USUAL, 1, 10, 0), 0);
		assertThat(this.queue.removeHopeless(3 * SECOND))
			.containsExactly(new Rejection<>("a", Rejection.Reason.EXPIRED));
	}

	@Test
	void largeCustomerWithinItsUsualLoadHasNoExcess() {
		for (int second = 0; second < 60; second++) {
			for (int request = 0; request < 50; request++) {
				this.usage.record(CROWD, 1000, second * SECOND);
			}
			this.usage.record(USUAL, 1000, second * SECOND);
		}
		assertThat(this.usage.excess(CROWD, 60 * SECOND)).isBetween(0.7, 1.3);
		assertThat(this.usage.excess(USUAL, 60 * SECOND)).isBetween(0.7, 1.3);
	}

	@Test
	void firstRequestsOfACustomerAreNoExcess() {
		this.usage.record(CROWD, 1000, 0);
		this.usage.record(CROWD, 1000, 1);
		assertThat(this.usage.excess(CROWD, 2)).isBetween(0.7, 1.5);
	}

}
