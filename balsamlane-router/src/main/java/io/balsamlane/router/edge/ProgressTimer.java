package io.balsamlane.router.edge;

import io.vertx.core.Vertx;

/**
 * Timer that fires when a phase of an exchange makes no progress within a time limit.
 * <p>
 * Recording progress only stores the time, so a token costs no timer operation.
 */
final class ProgressTimer {

	private final Vertx vertx;

	private final Runnable timeoutHandler;

	private long limitNanos;

	private long progressNanos;

	private long timer = -1;

	ProgressTimer(Vertx vertx, Runnable timeoutHandler) {
		this.vertx = vertx;
		this.timeoutHandler = timeoutHandler;
	}

	void start(int limitMillis) {
		stop();
		this.limitNanos = limitMillis * 1_000_000L;
		recordProgress();
		schedule(limitMillis);
	}

	void recordProgress() {
		this.progressNanos = System.nanoTime();
	}

	private void schedule(long millis) {
		this.timer = this.vertx.setTimer(Math.max(1, millis), (id) -> check());
	}

	private void check() {
		long remainingNanos = this.progressNanos + this.limitNanos - System.nanoTime();
		if (remainingNanos > 0) {
			schedule(remainingNanos / 1_000_000 + 1);
		}
		else {
			this.timer = -1;
			this.timeoutHandler.run();
		}
	}

	void stop() {
		if (this.timer >= 0) {
			this.vertx.cancelTimer(this.timer);
			this.timer = -1;
		}
	}

}
