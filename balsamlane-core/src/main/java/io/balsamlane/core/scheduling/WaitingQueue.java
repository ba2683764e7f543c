package io.balsamlane.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounded queue: highest priority first, then the caller that has used least, then the
 * earliest deadline.
 */
final class WaitingQueue {

	private final Waiting[] entries;

	private final Map<String, Waiting> byKey = new HashMap<>();

	private int size;

	WaitingQueue(int capacity) {
		this.entries = new Waiting[capacity];
	}

	int size() {
		return this.size;
	}

	boolean full() {
		return this.size == this.entries.length;
	}

	Waiting at(int position) {
		return this.entries[position];
	}

	Waiting find(String key) {
		return this.byKey.get(key);
	}

	void add(Waiting entry) {
		this.entries[this.size++] = entry;
		this.byKey.put(entry.key, entry);
		entry.caller.waiting++;
		entry.caller.waitingNanos += entry.costNanos;
	}

	void remove(Waiting entry) {
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
	 * Returns the first entry that a pass has not tried yet.
	 * @param pass number of the pass
	 * @return the entry, null if all were tried
	 */
	Waiting first(long pass) {
		Waiting best = null;
		for (int i = 0; i < this.size; i++) {
			Waiting entry = this.entries[i];
			if (entry.triedPass != pass && (best == null || before(entry, best))) {
				best = entry;
			}
		}
		return best;
	}

	private static boolean before(Waiting one, Waiting other) {
		if (one.request.getPriority() != other.request.getPriority()) {
			return one.request.getPriority() > other.request.getPriority();
		}
		if (one.caller != other.caller) {
			return one.caller.virtualNanos < other.caller.virtualNanos;
		}
		return one.deadlineNanos - other.deadlineNanos < 0;
	}

	/**
	 * Returns the entry to shed when the queue is full: lowest priority, then the caller
	 * with the most waiting work, then the latest deadline.
	 * @param arriving the request that wants a place in the queue
	 * @return the entry to shed, which may be the arriving one
	 */
	Waiting victim(Waiting arriving) {
		Waiting worst = arriving;
		for (int i = 0; i < this.size; i++) {
			if (shedBefore(this.entries[i], worst)) {
				worst = this.entries[i];
			}
		}
		return worst;
	}

	private static boolean shedBefore(Waiting one, Waiting other) {
		if (one.request.getPriority() != other.request.getPriority()) {
			return one.request.getPriority() < other.request.getPriority();
		}
		if (one.caller != other.caller) {
			return one.caller.waiting > other.caller.waiting;
		}
		return one.deadlineNanos - other.deadlineNanos > 0;
	}

	/**
	 * Sums the domain time of the entries that go before a new request of a caller.
	 * Another caller goes first only until its used time reaches that of this one.
	 * @param caller the caller
	 * @param priority priority of the request
	 * @param costNanos domain time of the request
	 * @return the domain time in nanoseconds
	 */
	double aheadNanos(CallerState caller, int priority, double costNanos) {
		double ahead = 0;
		for (int i = 0; i < this.size; i++) {
			Waiting entry = this.entries[i];
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
