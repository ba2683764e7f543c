package io.balsamlane.router.service;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.schema.ServiceSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;

/**
 * Connections to replicas, with one pool for each.
 */
final class ReplicaClient {

	private static final Logger logger = System.getLogger(ReplicaClient.class.getName());

	private static final int MAX_POOLS = 4096;

	private static final int MAX_CONNECTIONS = 256;

	private static final int KEEP_ALIVE_SECONDS = 20;

	private final Vertx vertx;

	private final ServiceSettings settings;

	private final NetClient prober;

	private final Map<Endpoint, HttpClient> pools = new ConcurrentHashMap<>();

	ReplicaClient(Vertx vertx, ServiceSettings settings) {
		this.vertx = vertx;
		this.settings = settings;
		this.prober = vertx
			.createNetClient(new NetClientOptions().setConnectTimeout(settings.getConnectTimeoutMillis()));
	}

	/**
	 * Obtains a connection. No byte has been sent when the future fails.
	 * @param endpoint the replica
	 * @param options method, path and headers
	 * @return the request, not sent
	 */
	Future<HttpClientRequest> open(Endpoint endpoint, RequestOptions options) {
		options.setHost(endpoint.address())
			.setPort(endpoint.port())
			.setIdleTimeout(this.settings.getProgressTimeoutMillis());
		return pool(endpoint).request(options);
	}

	private HttpClient pool(Endpoint endpoint) {
		if (this.pools.size() >= MAX_POOLS && !this.pools.containsKey(endpoint)) {
			// Addresses of replaced replicas add up over a long time; their pools are
			// idle.
			this.pools.keySet().stream().findFirst().ifPresent(this::drop);
		}
		return this.pools.computeIfAbsent(endpoint,
				(key) -> this.vertx.createHttpClient(
						new HttpClientOptions().setConnectTimeout(this.settings.getConnectTimeoutMillis())
							.setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
						new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)));
	}

	/**
	 * Tests a replica whose connection went silent over a new connection. If that one
	 * opens, the old connections are at fault and are not used again.
	 * @param endpoint the replica
	 */
	void probe(Endpoint endpoint) {
		this.prober.connect(endpoint.port(), endpoint.address()).onSuccess((socket) -> {
			socket.close();
			logger.log(Level.WARNING, "Connections to {0} made no progress; they are replaced by new ones", endpoint);
			drop(endpoint);
		})
			.onFailure((cause) -> logger.log(Level.WARNING, "Replica {0} accepts no connection: {1}", endpoint,
					cause.getMessage()));
	}

	private void drop(Endpoint endpoint) {
		HttpClient old = this.pools.remove(endpoint);
		if (old != null) {
			old.shutdown(this.settings.getProgressTimeoutMillis(), TimeUnit.MILLISECONDS);
		}
	}

}
