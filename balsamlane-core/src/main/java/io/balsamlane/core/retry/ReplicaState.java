package io.balsamlane.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Health, latency and outstanding calls of a replica as observed by this router.
 */
final class ReplicaState {

	private static final double LATENCY_SMOOTHING_FACTOR = 0.2;

	/** Three consecutive failures are unlikely to be coincidental. */
	private static final int FAILURES_UNTIL_AVOIDED = 3;

	private static final long INITIAL_AVOIDANCE_NANOS = 1_000_000_000L;

	private static final int MAX_DOUBLINGS = 5;

	private final Map<Long, Long> startedByCall = new HashMap<>();

	private double latencyNanos;

	private int consecutiveFailures;

	private long avoidUntilNanos;

	private long leavingUntilNanos;

	private boolean avoided;

	private boolean leaving;

	private long lastUsedNanos;

	void started(long call, long nowNanos) {
		this.startedByCall.put(call, nowNanos);
		this.lastUsedNanos = nowNanos;
	}

	void succeeded(long call, long nowNanos) {
		Long startNanos = this.startedByCall.remove(call);
		if (startNanos != null) {
			double sample = nowNanos - startNanos;
			this.latencyNanos = (this.latencyNanos == 0) ? sample
					: this.latencyNanos + LATENCY_SMOOTHING_FACTOR * (sample - this.latencyNanos);
		}
		this.consecutiveFailures = 0;
		this.avoided = false;
	}

	void abandoned(long call) {
		this.startedByCall.remove(call);
	}

	void failed(long call, long nowNanos) {
		this.startedByCall.remove(call);
		this.consecutiveFailures++;
		if (this.consecutiveFailures >= FAILURES_UNTIL_AVOIDED) {
			int doublings = Math.min(this.consecutiveFailures - FAILURES_UNTIL_AVOIDED, MAX_DOUBLINGS);
			this.avoidUntilNanos = nowNanos + (INITIAL_AVOIDANCE_NANOS << doublings);
			this.avoided = true;
		}
	}

	void leaving(long untilNanos) {
		this.leavingUntilNanos = untilNanos;
		this.leaving = true;
	}

	boolean isLeaving(long nowNanos) {
		return this.leaving && nowNanos - this.leavingUntilNanos < 0;
	}

	boolean isAvoided(long nowNanos) {
		return this.avoided && nowNanos - this.avoidUntilNanos < 0;
	}

	int outstanding() {
		return this.startedByCall.size();
	}

	long lastUsedNanos() {
		return this.lastUsedNanos;
	}

	/**
	 * Return the smoothed latency, or the age of the oldest outstanding call if that is
	 * greater. A replica that becomes slow is thus detected before its first late answer.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the latency in nanoseconds, 0 if unknown
	 */
	double latencyNanos(long nowNanos) {
		long oldest = this.startedByCall.values().stream().mapToLong((start) -> nowNanos - start).max().orElse(0);
		return Math.max(this.latencyNanos, oldest);
	}

}
