package io.balsamlane.router.edge;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes connections that carry no request for a time. The idle time limit of the server
 * does not see a caller that sends its headers one byte at a time.
 */
final class ConnectionWatch {

	private final Vertx vertx;

	private final int limitMillis;

	private final Map<HttpConnection, State> states = new HashMap<>();

	ConnectionWatch(Vertx vertx, int limitMillis) {
		this.vertx = vertx;
		this.limitMillis = limitMillis;
	}

	void opened(HttpConnection connection) {
		State state = new State();
		this.states.put(connection, state);
		connection.closeHandler((closed) -> {
			this.states.remove(connection);
			this.vertx.cancelTimer(state.timer);
		});
		schedule(connection, state, this.limitMillis);
	}

	private void schedule(HttpConnection connection, State state, long millis) {
		state.timer = this.vertx.setTimer(Math.max(1, millis), (id) -> {
			long idleMillis = (System.nanoTime() - state.idleSinceNanos) / 1_000_000;
			if (state.requests > 0) {
				schedule(connection, state, this.limitMillis);
			}
			else if (idleMillis >= this.limitMillis) {
				connection.close();
			}
			else {
				schedule(connection, state, this.limitMillis - idleMillis);
			}
		});
	}

	void begun(HttpConnection connection) {
		State state = this.states.get(connection);
		if (state != null) {
			state.requests++;
		}
	}

	void ended(HttpConnection connection) {
		State state = this.states.get(connection);
		if (state != null) {
			state.requests--;
			state.idleSinceNanos = System.nanoTime();
		}
	}

	private static final class State {

		private long timer;

		private int requests;

		private long idleSinceNanos = System.nanoTime();

	}

}
