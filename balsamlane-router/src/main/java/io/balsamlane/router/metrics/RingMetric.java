package io.balsamlane.router.metrics;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tracks the current and the largest size of a ring buffer. This class is thread-safe.
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
	 * Record the size after an entry was added or removed.
	 * @param entries the number of entries in the ring buffer
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
