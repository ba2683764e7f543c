package io.balsamlane.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounded queue of requests, ordered by highest priority, then by the lowest virtual time
 * of the caller, then by the earliest deadline.
 */
final class WaitingQueue {

	private final WaitingRequest[] entries;

	private final Map<String, WaitingRequest> byKey = new HashMap<>();

	private int size;

	WaitingQueue(int capacity) {
		this.entries = new WaitingRequest[capacity];
	}

	int size() {
		return this.size;
	}

	boolean full() {
		return this.size == this.entries.length;
	}

	WaitingRequest at(int position) {
		return this.entries[position];
	}

	WaitingRequest find(String key) {
		return this.byKey.get(key);
	}

	void add(WaitingRequest entry) {
		this.entries[this.size++] = entry;
		this.byKey.put(entry.key, entry);
		entry.caller.waiting++;
		entry.caller.waitingNanos += entry.costNanos;
	}

	void remove(WaitingRequest entry) {
		this.byKey.remove(entry.key);
		for (int i = 0; i < this.size; i++) {
			if (this.entries[i] == entry) {
				this.entries[i] = this.entries[--this.size];
				this.entries[this.size] = null;
				entry.caller.waiting--;
				entry.caller.waitingNanos = (entry.caller.waiting == 0) ? 0
						: entry.caller.waitingNanos - entry.costNanos;
				return;
			}
		}
	}

	/**
	 * Return the first entry that the given pass has not tried yet.
	 * @param pass number of the pass
	 * @return the entry, null if all were tried
	 */
	WaitingRequest firstUntried(long pass) {
		WaitingRequest best = null;
		for (int i = 0; i < this.size; i++) {
			WaitingRequest entry = this.entries[i];
			if (entry.lastPass != pass && (best == null || isServedBefore(entry, best))) {
				best = entry;
			}
		}
		return best;
	}

	private static boolean isServedBefore(WaitingRequest one, WaitingRequest other) {
		if (one.request.getPriority() != other.request.getPriority()) {
			return one.request.getPriority() > other.request.getPriority();
		}
		if (one.caller != other.caller) {
			return one.caller.virtualNanos < other.caller.virtualNanos;
		}
		return one.deadlineNanos - other.deadlineNanos < 0;
	}

	/**
	 * Return the entry to shed when the queue is full: lowest priority, then the caller
	 * with the most waiting work, then the latest deadline.
	 * @param arriving the request to be added to the queue
	 * @return the entry to shed, which may be the arriving one
	 */
	WaitingRequest victim(WaitingRequest arriving) {
		WaitingRequest worst = arriving;
		for (int i = 0; i < this.size; i++) {
			if (isShedBefore(this.entries[i], worst)) {
				worst = this.entries[i];
			}
		}
		return worst;
	}

	private static boolean isShedBefore(WaitingRequest one, WaitingRequest other) {
		if (one.request.getPriority() != other.request.getPriority()) {
			return one.request.getPriority() < other.request.getPriority();
		}
		if (one.caller != other.caller) {
			return one.caller.waiting > other.caller.waiting;
		}
		return one.deadlineNanos - other.deadlineNanos > 0;
	}

	/**
	 * Return the total cost of the entries served before a new request of a caller.
	 * Entries of another caller count only until the virtual time of that caller reaches
	 * the one of the given caller.
	 * @param caller the caller
	 * @param priority priority of the request
	 * @param costNanos cost of the request, in nanoseconds
	 * @return the total cost in nanoseconds
	 */
	double queuedAheadNanos(CallerState caller, int priority, double costNanos) {
		double ahead = 0;
		for (int i = 0; i < this.size; i++) {
			WaitingRequest entry = this.entries[i];
			if (entry.request.getPriority() < priority) {
				continue;
			}
			if (entry.request.getPriority() > priority || entry.caller == caller) {
				ahead += entry.costNanos;
				continue;
			}
			double allowed = Math.max(0,
					caller.virtualNanos + caller.waitingNanos + costNanos - entry.caller.virtualNanos);
			ahead += entry.costNanos * Math.min(1, allowed / Math.max(1, entry.caller.waitingNanos));
		}
		return ahead;
	}

}
