package io.balsamlane.router.metrics;

import java.util.concurrent.atomic.LongAdder;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;

/**
 * Histogram of durations that favours the last few minutes, with the total sum that
 * collectors need to compute an average.
 */
final class Latency extends Histogram {

	private final LongAdder sumNanos = new LongAdder();

	private Latency() {
		super(LockFreeExponentiallyDecayingReservoir.builder().build());
	}

	static Latency create() {
		return new Latency();
	}

	@Override
	public void update(long nanos) {
		super.update(nanos);
		this.sumNanos.add(nanos);
	}

	long sumNanos() {
		return this.sumNanos.sum();
	}

}
