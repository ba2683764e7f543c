package io.balsamlane.core.scheduling;

/**
 * Safety margin on the expected time to first token: a running estimate of the 95th
 * percentile of the prediction error. It changes in small steps so that load swings do
 * not make it oscillate.
 */
final class FirstTokenMargin {

	private static final double QUANTILE = 0.95;

	private static final double STEP_NANOS = 4_000_000;

	private static final double MIN_NANOS = 5_000_000;

	private static final double MAX_NANOS = 200_000_000;

	private double nanos = 30_000_000;

	void observe(long errorNanos) {
		double step = (errorNanos > this.nanos) ? QUANTILE * STEP_NANOS : (QUANTILE - 1) * STEP_NANOS;
		this.nanos = Math.max(MIN_NANOS, Math.min(MAX_NANOS, this.nanos + step));
	}

	long nanos() {
		return (long) this.nanos;
	}

}
