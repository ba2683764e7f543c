package io.balsamlane.standin.engine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;

/**
 * Stream of a decode that reaches its router after the one-way delay between the places.
 */
class DelayedStream {

	private final Vertx vertx;

	private final HttpServerResponse response;

	private final int oneWayMillis;

	DelayedStream(Vertx vertx, HttpServerResponse response, int oneWayMillis) {
		this.vertx = vertx;
		this.response = response;
		this.oneWayMillis = oneWayMillis;
	}

	void write(String line) {
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
