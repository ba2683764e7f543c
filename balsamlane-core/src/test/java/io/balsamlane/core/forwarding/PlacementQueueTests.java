package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against load peaks that delay all requests past their targets.
 */
class PlacementQueueTests {

	private final PlacementQueue<String> queue = PlacementQueue.create(3);

	private final List<String> placed = new ArrayList<>();

	private boolean place(String request, boolean late) {
		if (this.placed.size() == 2) {
			return false;
		}
		this.placed.add(request + (late ? " late" : ""));
		return true;
	}

	@Test
	void placesOnTimeRequestsBeforeLateRequests() {
		this.queue.offer("old", 1, 0, 100, 1000);
		this.queue.offer("second", 1, 60, 160, 1000);
		this.queue.offer("first", 1, 50, 150, 1000);
		this.queue.drain(this::place, 120);
		assertThat(this.placed).containsExactly("first", "second");
		assertThat(this.queue.size()).isEqualTo(1);
	}

	@Test
	void lateRequestsUseRemainingCapacity() {
		this.queue.offer("old", 1, 0, 100, 1000);
		this.queue.offer("new", 1, 50, 150, 1000);
		this.queue.drain(this::place, 120);
		assertThat(this.placed).containsExactly("new", "old late");
	}

	@Test
	void placesHigherPriorityFirstAmongOnTimeAndAmongLateRequests() {
		PlacementQueue<String> mixed = PlacementQueue.create(4);
		List<String> order = new ArrayList<>();
		mixed.offer("late low", 2, 0, 100, 1000);
		mixed.offer("late high", 0, 10, 100, 1000);
		mixed.offer("low", 2, 20, 200, 1000);
		mixed.offer("high", 0, 30, 200, 1000);
		mixed.drain((request, late) -> order.add(request), 120);
		assertThat(order).containsExactly("high", "low", "late high", "late low");
	}

	@Test
	void requestQueuesOnlyBehindTheSameOrAHigherPriority() {
		this.queue.offer("waiting", 2, 0, 100, 1000);
		assertThat(this.queue.anyAhead(1)).isFalse();
		assertThat(this.queue.anyAhead(2)).isTrue();
		assertThat(this.queue.anyAhead(3)).isTrue();
	}

	@Test
	void requestThatCannotBePlacedKeepsItsPosition() {
		this.queue.offer("large", 1, 0, 100, 1000);
		this.queue.offer("small", 1, 10, 100, 1000);
		this.queue.drain((request, late) -> request.equals("small"), 20);
		assertThat(this.queue.size()).isEqualTo(2);
	}

	@Test
	void requestExpiresAtItsDeadline() {
		this.queue.offer("a", 1, 0, 100, 200);
		this.queue.offer("b", 1, 0, 100, 300);
		assertThat(this.queue.removeExpired(200)).containsExactly("a");
		assertThat(this.queue.size()).isEqualTo(1);
	}

	@Test
	void fullQueueRejectsRequest() {
		List.of("a", "b", "c").forEach((request) -> this.queue.offer(request, 1, 0, 100, 200));
		assertThat(this.queue.offer("d", 1, 0, 100, 200)).isFalse();
	}

}
