package io.balsamlane.router.edge;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes connections that have carried no request for the idle timeout. The idle timeout
 * of the HTTP server does not cover a caller that sends its headers one byte at a time.
 */
final class IdleConnectionMonitor {

	private final Vertx vertx;

	private final int idleTimeoutMillis;

	private final Map<HttpConnection, ConnectionState> states = new HashMap<>();

	IdleConnectionMonitor(Vertx vertx, int idleTimeoutMillis) {
		this.vertx = vertx;
		this.idleTimeoutMillis = idleTimeoutMillis;
	}

	void connectionOpened(HttpConnection connection) {
		ConnectionState state = new ConnectionState();
		this.states.put(connection, state);
		connection.closeHandler((closed) -> {
			this.states.remove(connection);
			this.vertx.cancelTimer(state.timer);
		});
		schedule(connection, state, this.idleTimeoutMillis);
	}

	private void schedule(HttpConnection connection, ConnectionState state, long millis) {
		state.timer = this.vertx.setTimer(Math.max(1, millis), (id) -> {
			long idleMillis = (System.nanoTime() - state.idleSinceNanos) / 1_000_000;
			if (state.requests > 0) {
				schedule(connection, state, this.idleTimeoutMillis);
			}
			else if (idleMillis >= this.idleTimeoutMillis) {
				connection.close();
			}
			else {
				schedule(connection, state, this.idleTimeoutMillis - idleMillis);
			}
		});
	}

	void requestStarted(HttpConnection connection) {
		ConnectionState state = this.states.get(connection);
		if (state != null) {
			state.requests++;
		}
	}

	void requestEnded(HttpConnection connection) {
		ConnectionState state = this.states.get(connection);
		if (state != null) {
			state.requests--;
			state.idleSinceNanos = System.nanoTime();
		}
	}

	private static final class ConnectionState {

		private long timer;

		private int requests;

		private long idleSinceNanos = System.nanoTime();

	}

}
