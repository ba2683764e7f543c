package io.balsamlane.standin.engine;

import java.util.function.IntConsumer;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;

/**
 * Stream of a decode that reaches its router after the one-way delay between the places.
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
		later(() -> this.response.write(line));
	}

	void end() {
		later(this.response::end);
	}

	void reset() {
		later(this.response::reset);
	}

	private void later(Runnable action) {
		if (this.oneWayMillis > 0) {
			this.vertx.setTimer(this.oneWayMillis, (id) -> ifOpen(action));
		}
		else {
			ifOpen(action);
		}
	}

	private void ifOpen(Runnable action) {
		if (!this.response.ended() && !this.response.closed()) {
			action.run();
		}
	}

}
