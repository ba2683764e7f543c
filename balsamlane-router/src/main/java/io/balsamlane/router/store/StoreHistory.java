package io.balsamlane.router.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * History of the latest changes of the keys with one prefix, kept by a router that reads
 * the store for others. Not thread-safe.
 */
final class StoreHistory {

	/**
	 * Maximum number of batches, which cover a few seconds; routers that are further
	 * behind repeat the full read.
	 */
	private static final int MAX_BATCHES = 64;

	/**
	 * Maximum total size of the values returned; a configuration of a hundred routes
	 * fits. Larger changes are read from the store, whose link has more bandwidth.
	 */
	private static final int MAX_VALUE_BYTES = 32 << 10;

	private final BiFunction<String, byte[], Object> meaning;

	private final Deque<Batch> batches = new ArrayDeque<>();

	// Meaning of the latest value of each key that was written since the base revision of
	// the last reset. A router that has seen all changes up to a revision knows it.
	private final Map<String, Object> meanings = new HashMap<>();

	// All changes after this revision are available.
	private long baseRevision;

	private long revision;

	private long confirmedNanos;

	private boolean known;

	/**
	 * Create an empty history.
	 * @param meaning returns what a router reads from the value of a key; values with the
	 * same meaning as the one before them are left out
	 */
	StoreHistory(BiFunction<String, byte[], Object> meaning) {
		this.meaning = meaning;
	}

	/**
	 * Reset the history to a revision; earlier changes are not known.
	 * @param atRevision the revision of the view
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void reset(long atRevision, long nowNanos) {
		this.batches.clear();
		this.meanings.clear();
		this.baseRevision = atRevision;
		this.revision = atRevision;
		this.confirmedNanos = nowNanos;
		this.known = true;
	}

	/**
	 * Add the result of a watch.
	 * @param afterRevision the revision after which the store was watched
	 * @param changed the result
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the result without the values that mean the same as the ones before them
	 */
	PrefixRead.Changed add(long afterRevision, PrefixRead.Changed changed, long nowNanos) {
		if (!this.known || afterRevision != this.revision) {
			reset(afterRevision, nowNanos);
		}
		List<PrefixRead.Item> changes = changed.changes().stream().filter(this::changesMeaning).toList();
		if (!changes.isEmpty()) {
			this.batches.addLast(new Batch(changed.revision(), changes));
			if (this.batches.size() > MAX_BATCHES) {
				this.baseRevision = this.batches.removeFirst().revision();
			}
		}
		this.revision = changed.revision();
		this.confirmedNanos = nowNanos;
		return new PrefixRead.Changed(changes, changed.revision());
	}

	private boolean changesMeaning(PrefixRead.Item item) {
		if (item.removed()) {
			this.meanings.remove(item.key());
			return true;
		}
		Object next = this.meaning.apply(item.key(), item.value());
		return !next.equals(this.meanings.put(item.key(), next));
	}

	/**
	 * Return the time since the store last confirmed the view.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the age in nanoseconds, {@link Long#MAX_VALUE} if there is no view
	 */
	long ageNanos(long nowNanos) {
		return this.known ? nowNanos - this.confirmedNanos : Long.MAX_VALUE;
	}

	/**
	 * Return the changes after a revision.
	 * @param afterRevision the revision
	 * @return the changes, possibly none, or {@link PrefixRead.HistoryLost} if they are
	 * not available or too large
	 */
	PrefixRead changesSince(long afterRevision) {
		if (afterRevision >= this.revision) {
			return new PrefixRead.Changed(List.of(), afterRevision);
		}
		List<PrefixRead.Item> changes = new ArrayList<>();
		this.batches.stream()
			.filter((batch) -> batch.revision() > afterRevision)
			.forEach((batch) -> changes.addAll(batch.changes()));
		int bytes = changes.stream().mapToInt((item) -> item.removed() ? 0 : item.value().length).sum();
		return (afterRevision < this.baseRevision || bytes > MAX_VALUE_BYTES) ? new PrefixRead.HistoryLost()
				: new PrefixRead.Changed(changes, this.revision);
	}

	private record Batch(long revision, List<PrefixRead.Item> changes) {
	}

}
