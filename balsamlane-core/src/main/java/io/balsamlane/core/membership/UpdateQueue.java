package io.balsamlane.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.schema.MemberUpdate;
import io.balsamlane.schema.Probe;

/**
 * Statements that are still to be passed on, at most one per host. Those that were sent
 * least often go first.
 */
final class UpdateQueue {

	private static final int FIELD_OVERHEAD_BYTES = 3;

	private final int capacity;

	private final Map<String, Queued> queued = new HashMap<>();

	UpdateQueue(int capacity) {
		this.capacity = capacity;
	}

	// If there is no room, the statement that was sent most often gives way.
	void add(MemberUpdate update) {
		if (this.queued.size() >= this.capacity && !this.queued.containsKey(update.getHost())) {
			this.queued.values()
				.stream()
				.max(Comparator.comparingInt((entry) -> entry.sent))
				.ifPresent((entry) -> this.queued.remove(entry.update.getHost()));
		}
		this.queued.put(update.getHost(), new Queued(update));
	}

	int size() {
		return this.queued.size();
	}

	boolean hasFresh() {
		return !this.queued.isEmpty() && this.queued.values().stream().anyMatch((entry) -> entry.sent == 0);
	}

	// Selects the statements of the next datagrams; they count as sent to each receiver.
	List<MemberUpdate> take(int budgetBytes, int receivers, int maxSent) {
		if (this.queued.isEmpty()) {
			return List.of();
		}
		AtomicInteger leftBytes = new AtomicInteger(budgetBytes);
		List<Queued> selected = this.queued.values()
			.stream()
			.sorted(Comparator.comparingInt((entry) -> entry.sent))
			.takeWhile((entry) -> leftBytes.addAndGet(-entry.sizeBytes) >= 0)
			.toList();
		selected.forEach((entry) -> {
			entry.sent += receivers;
			if (entry.sent >= maxSent) {
				this.queued.remove(entry.update.getHost());
			}
		});
		return selected.stream().map((entry) -> entry.update).toList();
	}

	static int sizeBytes(MemberUpdate update) {
		return update.getSerializedSize() + FIELD_OVERHEAD_BYTES;
	}

	static int leftBytes(Probe.Builder probe, int datagramBytes) {
		return datagramBytes - probe.buildPartial().getSerializedSize();
	}

	private static final class Queued {

		private final MemberUpdate update;

		private final int sizeBytes;

		private int sent;

		private Queued(MemberUpdate update) {
			this.update = update;
			this.sizeBytes = sizeBytes(update);
		}

	}

}
