package io.balsamlane.core.scheduling;

import java.util.ArrayDeque;

import io.balsamlane.schema.EngineRole;

/**
 * Scheduling state of one engine: its reservations, queued prefills and observed speed.
 */
final class Engine {

	/**
	 * Weight of one time sample; two samples at three times the normal time mark an
	 * engine as a straggler.
	 */
	private static final double TIME_GAIN = 0.25;

	private static final double RECOVERY_GAIN = 0.7;

	private static final double STRAGGLER_FACTOR = 1.5;

	private static final double RECOVERED_FACTOR = 1.3;

	/** A single slow sample may be caused by a transient network delay. */
	private static final int MIN_SLOW_SAMPLES = 2;

	private static final double MAX_TIME_FACTOR = 50;

	/**
	 * Upper bound of one sample, so that an outlier cannot exclude an engine for long.
	 */
	private static final double MAX_SAMPLE_RATIO = 8;

	private static final long PEAK_WINDOW_NANOS = 1_500_000_000L;

	private static final long INITIAL_BACKOFF_NANOS = 500_000_000L;

	private static final int MAX_BACKOFF_DOUBLINGS = 4;

	private static final int FAILURE_THRESHOLD = 2;

	final String name;

	final EngineRole role;

	final int index;

	EnginePool pool;

	/** Number of the last decision that excluded this engine. */
	long excludedDecisionNumber;

	int memoryPieces;

	int reservedPieces;

	/** Memory reported by the engine that is not covered by a live grant. */
	int unaccountedPieces;

	int live;

	int decoding;

	/** Ratio of measured to nominal time; 1 is nominal speed. */
	double timeFactor = 1;

	/** Time factor divided by the median time factor of the pool. */
	double relativeFactor = 1;

	/** Median time factor of the pool at the last comparison. */
	private double median = 1;

	boolean straggler;

	int probes;

	final ArrayDeque<Grant> prefillQueue = new ArrayDeque<>();

	long pendingNanos;

	long busyUntilNanos;

	long lastPrefillDoneNanos;

	long linkBusyUntilNanos;

	double prefillNanosPerToken;

	double transferNanosPerToken;

	int cacheGeneration;

	long cacheSequence;

	long downUntilNanos;

	/** Time of the last overdue sample. */
	long lastOverdueNanos;

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
		this.linkBusyUntilNanos = nowNanos;
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
		return this.memoryPieces - this.reservedPieces - this.unaccountedPieces;
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
	 * Compare the reported memory with the peak reservation of the recent past, because
	 * reports lag. Only the excess is counted as memory not covered by a grant.
	 * @param usedPieces allocated memory reported by the engine, in pieces
	 * @param nowNanos current time
	 */
	void observeUsed(int usedPieces, long nowNanos) {
		trackPeak(nowNanos);
		this.unaccountedPieces = Math.max(0, usedPieces - Math.max(this.peakPieces, this.previousPeakPieces));
	}

	long prefillNanos(int tokens) {
		return (long) (tokens * this.prefillNanosPerToken * this.timeFactor);
	}

	/**
	 * Return the expected wait of a new prefill. While the prefill at the head of the
	 * queue is overdue, the prefills behind it still count in full.
	 * @param nowNanos current time
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
	 * Record a measured time. A fast sample of a straggler has more weight than other
	 * samples, because a straggler is only sampled by rare probes.
	 * @param ratio measured time divided by the nominal time
	 */
	void observeTime(double ratio) {
		double bounded = Math.max(1 / MAX_TIME_FACTOR, Math.min(MAX_SAMPLE_RATIO, ratio));
		boolean recovered = this.straggler && bounded < this.timeFactor / 2;
		this.timeFactor += (recovered ? RECOVERY_GAIN : TIME_GAIN) * (bounded - this.timeFactor);
		this.slowSamples = (bounded > STRAGGLER_FACTOR * this.median) ? this.slowSamples + 1 : 0;
		updateRelativeFactor(this.median);
	}

	/**
	 * Return whether this engine is a straggler whose last sample was fast.
	 * @return true if another probe is worthwhile soon
	 */
	boolean recovering() {
		return this.straggler && this.slowSamples == 0;
	}

	void updateRelativeFactor(double poolMedian) {
		this.median = poolMedian;
		this.relativeFactor = this.timeFactor / poolMedian;
		if (this.straggler) {
			this.straggler = this.relativeFactor > RECOVERED_FACTOR;
		}
		else {
			this.straggler = this.slowSamples >= MIN_SLOW_SAMPLES && this.relativeFactor > STRAGGLER_FACTOR;
		}
	}

	void observeFailure(long nowNanos) {
		this.failures++;
		if (this.failures >= FAILURE_THRESHOLD) {
			int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, this.failures - FAILURE_THRESHOLD);
			this.downUntilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << doublings);
		}
	}

	void observeSuccess() {
		this.failures = 0;
	}

	boolean down(long nowNanos) {
		return this.downUntilNanos - nowNanos > 0;
	}

}
