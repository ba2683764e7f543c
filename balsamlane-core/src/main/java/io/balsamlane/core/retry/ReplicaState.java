package io.balsamlane.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * What one router has seen of one replica.
 */
final class ReplicaState {

	private static final double LATENCY_WEIGHT = 0.2;

	/** Three failures in a row are unlikely to be chance. */
	private static final int FAILURES_OF_AVOIDANCE = 3;

	private static final long FIRST_AVOIDANCE_NANOS = 1_000_000_000L;

	private static final int MAX_DOUBLINGS = 5;

	private final Map<Long, Long> startedByCall = new HashMap<>();

	private double latencyNanos;

	private int failures;

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
					: this.latencyNanos + LATENCY_WEIGHT * (sample - this.latencyNanos);
		}
		this.failures = 0;
		this.avoided = false;
	}

	void abandoned(long call) {
		this.startedByCall.remove(call);
	}

	void failed(long call, long nowNanos) {
		this.startedByCall.remove(call);
		this.failures++;
		if (this.failures >= FAILURES_OF_AVOIDANCE) {
			int doublings = Math.min(this.failures - FAILURES_OF_AVOIDANCE, MAX_DOUBLINGS);
			this.avoidUntilNanos = nowNanos + (FIRST_AVOIDANCE_NANOS << doublings);
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
	 * Returns the learned latency, or the age of the oldest unanswered call if that is
	 * more: a replica that has just become slow shows it before its first late answer.
	 * @param nowNanos the monotonic time
	 * @return the latency in nanoseconds, 0 if nothing is known
	 */
	double latencyNanos(long nowNanos) {
		long oldest = this.startedByCall.values().stream().mapToLong((start) -> nowNanos - start).max().orElse(0);
		return Math.max(this.latencyNanos, oldest);
	}

}
