package io.balsamlane.router.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The last changes of the keys with one prefix, kept by a router that reads the store for
 * others. Not safe for use by several threads.
 */
final class StoreHistory {

	/** Changes of some seconds; routers that lag further behind read again. */
	private static final int MAX_BATCHES = 64;

	/** Larger changes are read from the store, which has the wider link. */
	private static final int MAX_BYTES = 4096;

	private final Deque<Batch> batches = new ArrayDeque<>();

	// Changes after this revision are at hand.
	private long fromRevision;

	private long revision;

	private long confirmedNanos;

	private boolean known;

	/**
	 * Starts anew; what happened before the revision is not known.
	 * @param atRevision revision of the view
	 * @param nowNanos the monotonic time
	 */
	void start(long atRevision, long nowNanos) {
		this.batches.clear();
		this.fromRevision = atRevision;
		this.revision = atRevision;
		this.confirmedNanos = nowNanos;
		this.known = true;
	}

	/**
	 * Adds what a watch has returned.
	 * @param afterRevision revision after which the store was asked
	 * @param changed the answer
	 * @param nowNanos the monotonic time
	 */
	void add(long afterRevision, PrefixRead.Changed changed, long nowNanos) {
		if (!this.known || afterRevision != this.revision) {
			start(afterRevision, nowNanos);
		}
		if (!changed.changes().isEmpty()) {
			this.batches.addLast(new Batch(changed.revision(), changed.changes()));
			if (this.batches.size() > MAX_BATCHES) {
				this.fromRevision = this.batches.removeFirst().revision();
			}
		}
		this.revision = changed.revision();
		this.confirmedNanos = nowNanos;
	}

	/**
	 * Returns the time since the store confirmed the view.
	 * @param nowNanos the monotonic time
	 * @return the age in nanoseconds, the highest number if there is no view
	 */
	long ageNanos(long nowNanos) {
		return this.known ? nowNanos - this.confirmedNanos : Long.MAX_VALUE;
	}

	/**
	 * Returns what happened after a revision.
	 * @param afterRevision the revision
	 * @return the changes, possibly none, or that they are not at hand
	 */
	PrefixRead since(long afterRevision) {
		if (afterRevision >= this.revision) {
			return new PrefixRead.Changed(List.of(), afterRevision);
		}
		List<PrefixRead.Item> changes = new ArrayList<>();
		this.batches.stream()
			.filter((batch) -> batch.revision() > afterRevision)
			.forEach((batch) -> changes.addAll(batch.changes()));
		int bytes = changes.stream().mapToInt((item) -> item.removed() ? 0 : item.value().length).sum();
		return (afterRevision < this.fromRevision || bytes > MAX_BYTES) ? new PrefixRead.HistoryLost()
				: new PrefixRead.Changed(changes, this.revision);
	}

	private record Batch(long revision, List<PrefixRead.Item> changes) {
	}

}
