package io.balsamlane.router.forwarding;

import java.util.function.LongConsumer;

import io.vertx.core.Vertx;

/**
 * Detects pauses of the process: a timer that fires much too late, or wall-clock time
 * that advanced further than the monotonic clock, which stops while the machine is
 * suspended.
 */
public final class PauseDetector {

	private static final long TICK_MILLIS = 250;

	/** Shorter pauses are caused by scheduling and garbage collection. */
	private static final long MIN_PAUSE_MILLIS = 1000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Vertx vertx;

	private final LongConsumer listener;

	private long lastNanos;

	private long lastEpochMillis;

	private PauseDetector(Vertx vertx, LongConsumer listener) {
		this.vertx = vertx;
		this.listener = listener;
	}

	/**
	 * Create a detector.
	 * @param vertx the event loop to monitor
	 * @param listener receives the length of each pause in milliseconds
	 * @return the detector
	 */
	public static PauseDetector create(Vertx vertx, LongConsumer listener) {
		return new PauseDetector(vertx, listener);
	}

	/**
	 * Start monitoring the event loop.
	 */
	public void start() {
		this.lastNanos = System.nanoTime();
		this.lastEpochMillis = System.currentTimeMillis();
		this.vertx.setPeriodic(TICK_MILLIS, (id) -> tick());
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		long nowEpochMillis = System.currentTimeMillis();
		long monotonicMillis = (nowNanos - this.lastNanos) / NANOS_PER_MILLI;
		long pausedMillis = Math.max(monotonicMillis, nowEpochMillis - this.lastEpochMillis) - TICK_MILLIS;
		this.lastNanos = nowNanos;
		this.lastEpochMillis = nowEpochMillis;
		if (pausedMillis >= MIN_PAUSE_MILLIS) {
			this.listener.accept(pausedMillis);
		}
	}

}
