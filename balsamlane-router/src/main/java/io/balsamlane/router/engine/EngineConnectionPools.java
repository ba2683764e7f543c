package io.balsamlane.router.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.http.RequestIdClients;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Keeps a separate HTTP client for each engine, so that the connections to one engine can
 * be replaced without affecting the others.
 */
final class EngineConnectionPools {

	private static final int MAX_CONNECTIONS_PER_ENGINE = 256;

	private static final int MAX_ENGINES = 2048;

	/** Grace period for open streams on connections that are being replaced. */
	private static final int SHUTDOWN_GRACE_SECONDS = 10;

	private final Vertx vertx;

	private final int connectTimeoutMillis;

	private final Map<Endpoint, HttpClient> clients;

	EngineConnectionPools(Vertx vertx, int connectTimeoutMillis) {
		this.vertx = vertx;
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.clients = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Endpoint, HttpClient> eldest) {
				if (size() <= MAX_ENGINES) {
					return false;
				}
				eldest.getValue().shutdown(SHUTDOWN_GRACE_SECONDS, TimeUnit.SECONDS);
				return true;
			}
		};
	}

	synchronized HttpClient client(Endpoint engine) {
		return this.clients.computeIfAbsent(engine, (key) -> create(MAX_CONNECTIONS_PER_ENGINE));
	}

	HttpClient create(int maxConnections) {
		return RequestIdClients.create(this.vertx, new HttpClientOptions().setConnectTimeout(this.connectTimeoutMillis),
				new PoolOptions().setHttp1MaxSize(maxConnections));
	}

	synchronized void drop(Endpoint engine) {
		HttpClient old = this.clients.remove(engine);
		if (old != null) {
			old.shutdown(SHUTDOWN_GRACE_SECONDS, TimeUnit.SECONDS);
		}
	}

}
