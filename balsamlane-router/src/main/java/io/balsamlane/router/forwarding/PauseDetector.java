package io.balsamlane.router.forwarding;

import java.util.function.LongConsumer;

import io.vertx.core.Vertx;

/**
 * Notices that the process stood still: a timer fires much later than it should, or the
 * time of day ran ahead of the monotonic clock, which a suspended machine does not count.
 */
public final class PauseDetector {

	private static final long TICK_MILLIS = 250;

	/** Pauses below this are scheduling and garbage collection. */
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
	 * Creates a detector.
	 * @param vertx the event loop that is watched
	 * @param listener receives the length of each pause in milliseconds
	 * @return the detector
	 */
	public static PauseDetector create(Vertx vertx, LongConsumer listener) {
		return new PauseDetector(vertx, listener);
	}

	/**
	 * Starts watching.
	 */
	public void start() {
		this.lastNanos = System.nanoTime();
		this.lastEpochMillis = System.currentTimeMillis();
		this.vertx.setPeriodic(TICK_MILLIS, (id) -> tick());
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		long nowEpochMillis = System.currentTimeMillis();
		long steadyMillis = (nowNanos - this.lastNanos) / NANOS_PER_MILLI;
		long pausedMillis = Math.max(steadyMillis, nowEpochMillis - this.lastEpochMillis) - TICK_MILLIS;
		this.lastNanos = nowNanos;
		this.lastEpochMillis = nowEpochMillis;
		if (pausedMillis >= MIN_PAUSE_MILLIS) {
			this.listener.accept(pausedMillis);
		}
	}

}
