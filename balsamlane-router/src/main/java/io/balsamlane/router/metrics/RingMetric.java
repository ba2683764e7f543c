package io.balsamlane.router.metrics;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Size of a ring buffer and the largest size so far. Safe for use by several threads.
 */
public final class RingMetric {

	private final AtomicInteger max = new AtomicInteger();

	private volatile int size;

	private RingMetric() {
	}

	static RingMetric create() {
		return new RingMetric();
	}

	/**
	 * Reports the size after an entry was added or removed.
	 * @param entries the size
	 */
	public void observe(int entries) {
		this.size = entries;
		if (entries > this.max.get()) {
			this.max.accumulateAndGet(entries, Math::max);
		}
	}

	int size() {
		return this.size;
	}

	int max() {
		return this.max.get();
	}

}
