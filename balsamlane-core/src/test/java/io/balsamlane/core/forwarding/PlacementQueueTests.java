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
		this.queue.offer("old", 0, 100, 1000);
		this.queue.offer("second", 60, 160, 1000);
		this.queue.offer("first", 50, 150, 1000);
		this.queue.drain(this::place, 120);
		assertThat(this.placed).containsExactly("first", "second");
		assertThat(this.queue.size()).isEqualTo(1);
	}

	@Test
	void lateRequestsUseRemainingCapacity() {
		this.queue.offer("old", 0, 100, 1000);
		this.queue.offer("new", 50, 150, 1000);
		this.queue.drain(this::place, 120);
		assertThat(this.placed).containsExactly("new", "old late");
	}

	@Test
	void requestThatCannotBePlacedKeepsItsPosition() {
		this.queue.offer("large", 0, 100, 1000);
		this.queue.offer("small", 10, 100, 1000);
		this.queue.drain((request, late) -> request.equals("small"), 20);
		assertThat(this.queue.size()).isEqualTo(2);
	}

	@Test
	void requestExpiresAtItsDeadline() {
		this.queue.offer("a", 0, 100, 200);
		this.queue.offer("b", 0, 100, 300);
		assertThat(this.queue.removeExpired(200)).containsExactly("a");
		assertThat(this.queue.size()).isEqualTo(1);
	}

	@Test
	void fullQueueRejectsRequest() {
		List.of("a", "b", "c").forEach((request) -> this.queue.offer(request, 0, 100, 200));
		assertThat(this.queue.offer("d", 0, 100, 200)).isFalse();
	}

}
