package io.balsamlane.standin.engine;

import java.util.function.IntConsumer;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;

/**
 * Decode response stream whose writes are delayed by the one-way network delay between
 * the engine and the router.
 */
class DelayedStream {

	private final Vertx vertx;

	private final HttpServerResponse response;

	private final int oneWayMillis;

	private final IntConsumer writtenBytes;

	DelayedStream(Vertx vertx, HttpServerResponse response, int oneWayMillis, IntConsumer writtenBytes) {
		this.vertx = vertx;
		this.response = response;
		this.oneWayMillis = oneWayMillis;
		this.writtenBytes = writtenBytes;
	}

	void write(String line) {
		this.writtenBytes.accept(line.length());
		schedule(() -> this.response.write(line));
	}

	void end() {
		schedule(this.response::end);
	}

	void reset() {
		schedule(this.response::reset);
	}

	private void schedule(Runnable action) {
		if (this.oneWayMillis > 0) {
			this.vertx.setTimer(this.oneWayMillis, (id) -> runIfOpen(action));
		}
		else {
			runIfOpen(action);
		}
	}

	private void runIfOpen(Runnable action) {
		if (!this.response.ended() && !this.response.closed()) {
			action.run();
		}
	}

}
