package io.balsamlane.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.Probe;

/**
 * Bounded queue of the member updates to disseminate, at most one per host. The updates
 * that were sent least often are sent first.
 */
final class UpdateQueue {

	private static final int FIELD_OVERHEAD_BYTES = 3;

	private final int capacity;

	private final Map<String, Queued> queued = new HashMap<>();

	UpdateQueue(int capacity) {
		this.capacity = capacity;
	}

	// Add an update. If the queue is full, the update that was sent most often is
	// removed.
	void add(MemberUpdate update) {
		if (this.queued.size() >= this.capacity && !this.queued.containsKey(update.getHost())) {
			this.queued.values()
				.stream()
				.max(Comparator.comparingInt((entry) -> entry.sendCount))
				.ifPresent((entry) -> this.queued.remove(entry.update.getHost()));
		}
		this.queued.put(update.getHost(), new Queued(update));
	}

	int size() {
		return this.queued.size();
	}

	boolean hasUnsent() {
		return !this.queued.isEmpty() && this.queued.values().stream().anyMatch((entry) -> entry.sendCount == 0);
	}

	// Select the updates for the next datagram. Its receivers are added to the send count
	// of each of them.
	List<MemberUpdate> take(int budgetBytes, int receivers, int maxSends) {
		if (this.queued.isEmpty()) {
			return List.of();
		}
		AtomicInteger remainingBytes = new AtomicInteger(budgetBytes);
		List<Queued> selected = this.queued.values()
			.stream()
			.sorted(Comparator.comparingInt((entry) -> entry.sendCount))
			.takeWhile((entry) -> remainingBytes.addAndGet(-entry.sizeBytes) >= 0)
			.toList();
		selected.forEach((entry) -> {
			entry.sendCount += receivers;
			if (entry.sendCount >= maxSends) {
				this.queued.remove(entry.update.getHost());
			}
		});
		return selected.stream().map((entry) -> entry.update).toList();
	}

	static int sizeBytes(MemberUpdate update) {
		return update.getSerializedSize() + FIELD_OVERHEAD_BYTES;
	}

	static int remainingBytes(Probe.Builder probe, int datagramBytes) {
		return datagramBytes - probe.buildPartial().getSerializedSize();
	}

	private static final class Queued {

		private final MemberUpdate update;

		private final int sizeBytes;

		private int sendCount;

		private Queued(MemberUpdate update) {
			this.update = update;
			this.sizeBytes = sizeBytes(update);
		}

	}

}
