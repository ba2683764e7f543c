package io.balsamlane.router.edge;

import io.vertx.core.Vertx;

/**
 * Fires when a phase of an exchange makes no progress for a time.
 * <p>
 * Progress only stores the time, so a token costs no timer operation.
 */
final class ProgressTimer {

	private final Vertx vertx;

	private final Runnable expired;

	private long limitNanos;

	private long progressNanos;

	private long timer = -1;

	ProgressTimer(Vertx vertx, Runnable expired) {
		this.vertx = vertx;
		this.expired = expired;
	}

	void start(int limitMillis) {
		stop();
		this.limitNanos = limitMillis * 1_000_000L;
		progress();
		schedule(limitMillis);
	}

	void progress() {
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
			this.expired.run();
		}
	}

	void stop() {
		if (this.timer >= 0) {
			this.vertx.cancelTimer(this.timer);
			this.timer = -1;
		}
	}

}
