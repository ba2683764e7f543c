package io.balsamlane.core.forwarding;

import java.util.HashMap;
import java.util.Map;

import io.balsamlane.core.model.ServerName;

/**
 * What this router has seen of engines: how slow they are, and which failed lately. Not
 * safe for use by several threads.
 */
final class EngineObservations {

	/** Weight of one observation in the learned slowness of an engine. */
	private static final double SLOWNESS_WEIGHT = 0.3;

	/** An engine is not believed to be more than this much slower than the others. */
	private static final double MAX_SLOWNESS = 8;

	/** Learned slowness halves its distance to 1 in this time without observation. */
	private static final double SLOWNESS_HALF_LIFE_NANOS = 4e9;

	/** Time for which an engine that failed gets nothing while others are left. */
	private static final long AVOID_NANOS = 1_500_000_000L;

	/** Repeated failures double the time of avoidance up to this many times. */
	private static final int MAX_DOUBLINGS = 3;

	private final Map<ServerName, Observed> observed = new HashMap<>();

	void took(ServerName engine, double expectedMillis, double actualMillis, long nowNanos) {
		of(engine).took(actualMillis / Math.max(1, expectedMillis), nowNanos);
	}

	void succeeded(ServerName engine) {
		of(engine).failures = 0;
	}

	void failed(ServerName engine, long nowNanos) {
		of(engine).failed(nowNanos);
	}

	void forget(ServerName engine) {
		this.observed.remove(engine);
	}

	double slowness(ServerName engine, long nowNanos) {
		Observed seen = this.observed.get(engine);
		return (seen != null) ? seen.slowness(nowNanos) : 1;
	}

	boolean avoided(ServerName engine, long nowNanos) {
		Observed seen = this.observed.get(engine);
		return seen != null && seen.avoided(nowNanos);
	}

	private Observed of(ServerName engine) {
		return this.observed.computeIfAbsent(engine, (key) -> new Observed());
	}

	private static final class Observed {

		private double slowness = 1;

		private long slownessNanos;

		private int failures;

		private long avoidUntilNanos;

		void took(double ratio, long nowNanos) {
			double bounded = Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, ratio));
			this.slowness = slowness(nowNanos) + SLOWNESS_WEIGHT * (bounded - slowness(nowNanos));
			this.slownessNanos = nowNanos;
			this.failures = 0;
		}

		double slowness(long nowNanos) {
			double halves = (nowNanos - this.slownessNanos) / SLOWNESS_HALF_LIFE_NANOS;
			return 1 + (this.slowness - 1) * Math.pow(0.5, Math.max(0, halves));
		}

		void failed(long nowNanos) {
			int doublings = Math.min(this.failures, MAX_DOUBLINGS);
			this.failures++;
			this.avoidUntilNanos = nowNanos + (AVOID_NANOS << doublings);
		}

		boolean avoided(long nowNanos) {
			return this.failures > 0 && nowNanos - this.avoidUntilNanos < 0;
		}

	}

}
