package io.balsamlane.router.service;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.router.http.RequestIdClients;
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
 * Opens connections to replicas, with a separate pool for each replica.
 */
final class ReplicaClient {

	private static final Logger logger = System.getLogger(ReplicaClient.class.getName());

	private static final int MAX_POOLS = 4096;

	private static final int MAX_CONNECTIONS_PER_REPLICA = 256;

	private static final int KEEP_ALIVE_SECONDS = 20;

	private final Vertx vertx;

	private final ServiceSettings settings;

	private final NetClient probeClient;

	private final Map<Endpoint, HttpClient> pools = new ConcurrentHashMap<>();

	ReplicaClient(Vertx vertx, ServiceSettings settings) {
		this.vertx = vertx;
		this.settings = settings;
		this.probeClient = vertx
			.createNetClient(new NetClientOptions().setConnectTimeout(settings.getConnectTimeoutMillis()));
	}

	/**
	 * Open a connection. If the future fails, no byte of the call has been sent.
	 * @param endpoint address of the replica
	 * @param options method, path and headers of the request
	 * @return the request, which has not been sent
	 */
	Future<HttpClientRequest> open(Endpoint endpoint, RequestOptions options) {
		options.setHost(endpoint.address())
			.setPort(endpoint.port())
			.setIdleTimeout(this.settings.getProgressTimeoutMillis());
		return pool(endpoint).request(options);
	}

	private HttpClient pool(Endpoint endpoint) {
		if (this.pools.size() >= MAX_POOLS && !this.pools.containsKey(endpoint)) {
			// The pools of replaced replicas are idle and accumulate over a long time.
			this.pools.keySet().stream().findFirst().ifPresent(this::drop);
		}
		return this.pools.computeIfAbsent(endpoint,
				(key) -> RequestIdClients.create(this.vertx,
						new HttpClientOptions().setConnectTimeout(this.settings.getConnectTimeoutMillis())
							.setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
						new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_REPLICA)));
	}

	/**
	 * Probe a replica, one of whose connections made no progress, by opening a new
	 * connection. If that succeeds, the old connections are at fault and are not used
	 * again.
	 * @param endpoint address of the replica
	 */
	void probe(Endpoint endpoint) {
		this.probeClient.connect(endpoint.port(), endpoint.address()).onSuccess((socket) -> {
			socket.close();
			logger.log(Level.WARNING, "Connections to replica {0} made no progress; replacing them", endpoint);
			drop(endpoint);
		})
			.onFailure((cause) -> logger.log(Level.WARNING, "Replica {0} does not accept connections: {1}", endpoint,
					cause.getMessage()));
	}

	private void drop(Endpoint endpoint) {
		HttpClient old = this.pools.remove(endpoint);
		if (old != null) {
			old.shutdown(this.settings.getProgressTimeoutMillis(), TimeUnit.MILLISECONDS);
		}
	}

}
