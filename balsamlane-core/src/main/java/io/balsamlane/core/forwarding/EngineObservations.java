package io.balsamlane.core.forwarding;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.model.ServerName;

/**
 * Tracks the slowdown and the recent failures of engines as observed by this router. Not
 * thread-safe.
 */
final class EngineObservations {

	/** Weight of a new observation in the moving average of an engine's slowdown. */
	private static final double SLOWDOWN_WEIGHT = 0.3;

	/** Upper bound of the slowdown; its reciprocal is the lower bound. */
	private static final double MAX_SLOWDOWN = 8;

	/**
	 * Half-life with which the slowdown decays towards 1 in the absence of observations.
	 */
	private static final double SLOWDOWN_HALF_LIFE_NANOS = 4e9;

	/**
	 * Time for which a failed engine is not selected while other engines are available.
	 */
	private static final long AVOID_NANOS = 1_500_000_000L;

	/** Maximum number of times that consecutive failures double the avoidance time. */
	private static final int MAX_DOUBLINGS = 3;

	private final Map<ServerName, Observed> observed = new HashMap<>();

	void recordDuration(ServerName engine, double expectedMillis, double actualMillis, long nowNanos) {
		of(engine).recordDuration(actualMillis / Math.max(1, expectedMillis), nowNanos);
	}

	void recordSuccess(ServerName engine) {
		of(engine).failures = 0;
	}

	void recordFailure(ServerName engine, long nowNanos) {
		of(engine).recordFailure(nowNanos);
	}

	void forget(ServerName engine) {
		this.observed.remove(engine);
	}

	double slowdown(ServerName engine, long nowNanos) {
		Observed seen = this.observed.get(engine);
		return (seen != null) ? seen.slowdown(nowNanos) : 1;
	}

	boolean isAvoided(ServerName engine, long nowNanos) {
		Observed seen = this.observed.get(engine);
		return seen != null && seen.isAvoided(nowNanos);
	}

	/**
	 * Return whether an engine has failed and not completed any work since, although it
	 * may be selected again.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 * @return true if the engine must prove that it has recovered
	 */
	boolean isOnTrial(ServerName engine, long nowNanos) {
		Observed seen = this.observed.get(engine);
		return seen != null && seen.failures > 0 && !seen.isAvoided(nowNanos);
	}

	private Observed of(ServerName engine) {
		return this.observed.computeIfAbsent(engine, (key) -> new Observed());
	}

	private static final class Observed {

		private double slowdown = 1;

		private long slowdownNanos;

		private int failures;

		private long avoidUntilNanos;

		void recordDuration(double ratio, long nowNanos) {
			double bounded = Math.min(MAX_SLOWDOWN, Math.max(1 / MAX_SLOWDOWN, ratio));
			this.slowdown = slowdown(nowNanos) + SLOWDOWN_WEIGHT * (bounded - slowdown(nowNanos));
			this.slowdownNanos = nowNanos;
			this.failures = 0;
		}

		double slowdown(long nowNanos) {
			double halves = (nowNanos - this.slowdownNanos) / SLOWDOWN_HALF_LIFE_NANOS;
			return 1 + (this.slowdown - 1) * Math.pow(0.5, Math.max(0, halves));
		}

		void recordFailure(long nowNanos) {
			int doublings = Math.min(this.failures, MAX_DOUBLINGS);
			this.failures++;
			this.avoidUntilNanos = nowNanos + (AVOID_NANOS << doublings);
		}

		boolean isAvoided(long nowNanos) {
			return this.failures > 0 && nowNanos - this.avoidUntilNanos < 0;
		}

	}

}
