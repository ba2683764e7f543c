package io.balsamlane.core.scheduling;

import java.util.ArrayDeque;

import io.balsamlane.schema.EngineRole;

/**
 * What a scheduler reserves on one engine and has learned about it.
 */
final class Engine {

	/**
	 * Weight of one time sample; two samples of a threefold slowdown make a straggler.
	 */
	private static final double TIME_GAIN = 0.25;

	private static final double RECOVERY_GAIN = 0.7;

	private static final double STRAGGLER_FACTOR = 1.5;

	private static final double RECOVERED_FACTOR = 1.3;

	/** A single slow sample may be a hiccup of the network. */
	private static final int SLOW_SAMPLES = 2;

	private static final double MAX_TIME_FACTOR = 50;

	/** Bound of one sample, so that one outlier cannot take an engine out for long. */
	private static final double MAX_SAMPLE = 8;

	private static final long PEAK_WINDOW_NANOS = 1_500_000_000L;

	private static final long FIRST_DOWN_NANOS = 500_000_000L;

	private static final int MAX_DOWN_DOUBLINGS = 4;

	private static final int FAILURES_BEFORE_DOWN = 2;

	final String name;

	final EngineRole role;

	final int index;

	EnginePool pool;

	/** Number of the last decision that excluded this engine. */
	long excludedDecision;

	int memoryPieces;

	int reservedPieces;

	/** Memory that the engine reports and no live grant explains. */
	int foreignPieces;

	int live;

	int decoding;

	/** Times in relation to the engine's nominal speed; 1 is nominal. */
	double timeFactor = 1;

	/** Time factor in relation to the median of the pool's role. */
	double relativeFactor = 1;

	/** Median time factor of the pool at the last comparison. */
	private double median = 1;

	boolean straggler;

	int probes;

	final ArrayDeque<Grant> prefillQueue = new ArrayDeque<>();

	long pendingNanos;

	long busyUntilNanos;

	long lastPrefillDoneNanos;

	long linkUntilNanos;

	double prefillNanosPerToken;

	double transferNanosPerToken;

	int cacheGeneration;

	long cacheSequence;

	long downUntilNanos;

	/** Time of the last overdue sample. */
	long overdueNanos;

	private int slowSamples;

	private int failures;

	private int peakPieces;

	private int previousPeakPieces;

	private long peakWindowNanos;

	Engine(String name, EngineRole role, int index, int generation, long nowNanos) {
		this.name = name;
		this.role = role;
		this.index = index;
		this.cacheGeneration = generation;
		this.busyUntilNanos = nowNanos;
		this.linkUntilNanos = nowNanos;
		this.lastPrefillDoneNanos = nowNanos;
		this.downUntilNanos = nowNanos;
		this.peakWindowNanos = nowNanos;
	}

	void apply(EngineLoad load) {
		if (load.memoryPieces() > 0) {
			this.memoryPieces = load.memoryPieces();
		}
		if (load.prefillTokensPerSecond() > 0) {
			this.prefillNanosPerToken = 1e9 / load.prefillTokensPerSecond();
		}
		if (load.kvBytesPerToken() > 0 && load.linkBytesPerSecond() > 0) {
			this.transferNanosPerToken = 1e9 * load.kvBytesPerToken() / load.linkBytesPerSecond();
		}
	}

	int freePieces() {
		return this.memoryPieces - this.reservedPieces - this.foreignPieces;
	}

	void reserve(int pieces, long nowNanos) {
		this.reservedPieces += pieces;
		trackPeak(nowNanos);
	}

	void release(int pieces) {
		this.reservedPieces -= pieces;
	}

	private void trackPeak(long nowNanos) {
		if (nowNanos - this.peakWindowNanos > PEAK_WINDOW_NANOS) {
			this.previousPeakPieces = this.peakPieces;
			this.peakPieces = 0;
			this.peakWindowNanos = nowNanos;
		}
		this.peakPieces = Math.max(this.peakPieces, this.reservedPieces);
	}

	/**
	 * Compares a lagging report with the most that was reserved during its lag; only the
	 * rest is memory of others.
	 * @param usedPieces reported memory
	 * @param nowNanos present time
	 */
	void observeUsed(int usedPieces, long nowNanos) {
		trackPeak(nowNanos);
		this.foreignPieces = Math.max(0, usedPieces - Math.max(this.peakPieces, this.previousPeakPieces));
	}

	long prefillNanos(int tokens) {
		return (long) (tokens * this.prefillNanosPerToken * this.timeFactor);
	}

	/**
	 * Returns the expected wait of a new prefill. A head that is overdue keeps the wait
	 * of those behind it.
	 * @param nowNanos present time
	 * @return the wait in nanoseconds
	 */
	long waitNanos(long nowNanos) {
		Grant head = this.prefillQueue.peek();
		if (head == null) {
			return 0;
		}
		return Math.max(this.busyUntilNanos - nowNanos, this.pendingNanos - head.prefillNanos);
	}

	void addPrefill(Grant grant, long nowNanos) {
		this.busyUntilNanos = nowNanos + waitNanos(nowNanos) + grant.prefillNanos;
		if (this.prefillQueue.isEmpty()) {
			this.lastPrefillDoneNanos = nowNanos;
		}
		this.prefillQueue.add(grant);
		this.pendingNanos += grant.prefillNanos;
	}

	void removePrefill(Grant grant, long nowNanos) {
		this.prefillQueue.remove(grant);
		this.pendingNanos -= grant.prefillNanos;
		this.busyUntilNanos = nowNanos + this.pendingNanos;
	}

	/**
	 * Takes in a measured time. A straggler that was fast again is believed sooner than a
	 * slow one is blamed, because its samples are rare probes.
	 * @param ratio measured time in relation to the nominal time
	 */
	void observeTime(double ratio) {
		double bounded = Math.max(1 / MAX_TIME_FACTOR, Math.min(MAX_SAMPLE, ratio));
		boolean recovered = this.straggler && bounded < this.timeFactor / 2;
		this.timeFactor += (recovered ? RECOVERY_GAIN : TIME_GAIN) * (bounded - this.timeFactor);
		this.slowSamples = (bounded > STRAGGLER_FACTOR * this.median) ? this.slowSamples + 1 : 0;
		compareWith(this.median);
	}

	/**
	 * Tells whether a straggler was fast in its last sample.
	 * @return true if another probe is worthwhile soon
	 */
	boolean recovering() {
		return this.straggler && this.slowSamples == 0;
	}

	void compareWith(double poolMedian) {
		this.median = poolMedian;
		this.relativeFactor = this.timeFactor / poolMedian;
		if (this.straggler) {
			this.straggler = this.relativeFactor > RECOVERED_FACTOR;
		}
		else {
			this.straggler = this.slowSamples >= SLOW_SAMPLES && this.relativeFactor > STRAGGLER_FACTOR;
		}
	}

	void observeFailure(long nowNanos) {
		this.failures++;
		if (this.failures >= FAILURES_BEFORE_DOWN) {
			int doublings = Math.min(MAX_DOWN_DOUBLINGS, this.failures - FAILURES_BEFORE_DOWN);
			this.downUntilNanos = nowNanos + (FIRST_DOWN_NANOS << doublings);
		}
	}

	void observeSuccess() {
		this.failures = 0;
	}

	boolean down(long nowNanos) {
		return this.downUntilNanos - nowNanos > 0;
	}

}
