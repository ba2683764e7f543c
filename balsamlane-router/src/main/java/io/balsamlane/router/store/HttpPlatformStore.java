package io.balsamlane.router.store;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.util.function.Function;

import io.balsamlane.router.http.ReceivedResponse;
import io.balsamlane.router.http.RenewableHttpClient;
import io.balsamlane.router.http.RequestIdClients;
import io.balsamlane.schema.StoreSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/**
 * {@link LeaseStore} that accesses the platform's key-value service over HTTP.
 */
public final class HttpPlatformStore implements LeaseStore {

	private static final Logger logger = System.getLogger(HttpPlatformStore.class.getName());

	private static final int MAX_CONNECTIONS = 16;

	/**
	 * Time after the end of a watch at which its response is overdue: some round trips
	 * between regions, and delays on either side.
	 */
	private static final long WATCH_OVERDUE_MILLIS = 300;

	/** The shortest watch, to which the store responds at once. */
	private static final int SHORTEST_WATCH_MILLIS = 1;

	private static final String VERSION_HEADER = "X-Version";

	/** Values take up to 1 MB. */
	private static final int MAX_RESPONSE_BYTES = 8 << 20;

	private final RenewableHttpClient client;

	private final URI base;

	private final int watchWaitMillis;

	private final int callTimeoutMillis;

	private HttpPlatformStore(Vertx vertx, StoreSettings settings) {
		this.base = URI.create(settings.getUrl());
		this.callTimeoutMillis = settings.getCallTimeoutMillis();
		this.watchWaitMillis = settings.getWatchWaitMillis();
		this.client = RenewableHttpClient.create(vertx,
				() -> RequestIdClients.create(vertx, new HttpClientOptions().setConnectTimeout(this.callTimeoutMillis),
						new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)),
				MAX_RESPONSE_BYTES,
				() -> logger.log(Level.WARNING, "A call to the store timed out; using new connections"));
	}

	/**
	 * Create a client of the store.
	 * @param vertx provides the event loops
	 * @param settings the address and the timeouts
	 * @return the client
	 */
	public static HttpPlatformStore create(Vertx vertx, StoreSettings settings) {
		return new HttpPlatformStore(vertx, settings);
	}

	@Override
	public Future<StoreRead> get(String key) {
		return toRead(
				this.client.call(options(HttpMethod.GET, "/v1/kv/" + key), Buffer.buffer(), this.callTimeoutMillis));
	}

	@Override
	public Future<StoreRead> watch(String key, long afterVersion) {
		String uri = "/v1/watch/" + key + "?after=" + afterVersion + "&wait=";
		return toRead(this.client.callConfirmed(options(HttpMethod.GET, uri + this.watchWaitMillis),
				options(HttpMethod.GET, uri + SHORTEST_WATCH_MILLIS), this.watchWaitMillis + WATCH_OVERDUE_MILLIS,
				(long) this.watchWaitMillis + this.callTimeoutMillis));
	}

	private static Future<StoreRead> toRead(Future<ReceivedResponse> response) {
		return response.map(HttpPlatformStore::toRead)
			.otherwise((cause) -> new StoreRead.Unavailable(cause.getMessage()));
	}

	private static StoreRead toRead(ReceivedResponse response) {
		return switch (response.status()) {
			case 200 -> new StoreRead.Found(response.body().getBytes(), version(response));
			case 204 -> new StoreRead.Unchanged();
			case 404 -> new StoreRead.Absent();
			default -> new StoreRead.Unavailable("the store answered with status " + response.status());
		};
	}

	@Override
	public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion) {
		return write(writeOptions(key, expectedVersion), Buffer.buffer(value));
	}

	@Override
	public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion, long lease) {
		return write(writeOptions(key, expectedVersion).putHeader("X-Lease", Long.toString(lease)),
				Buffer.buffer(value));
	}

	private RequestOptions writeOptions(String key, long expectedVersion) {
		return options(HttpMethod.PUT, "/v1/kv/" + key).putHeader("If-Version", Long.toString(expectedVersion));
	}

	private Future<StoreWrite> write(RequestOptions options, Buffer content) {
		return this.client.call(options, content, this.callTimeoutMillis)
			.map(HttpPlatformStore::toWrite)
			.otherwise((cause) -> new StoreWrite.Undecided(cause.getMessage()));
	}

	@Override
	public Future<StoreWrite> delete(String key) {
		return write(options(HttpMethod.DELETE, "/v1/kv/" + key), Buffer.buffer());
	}

	private static StoreWrite toWrite(ReceivedResponse response) {
		int status = response.status();
		if (status == 200) {
			return new StoreWrite.Written(version(response));
		}
		if (status == 412) {
			return new StoreWrite.Mismatch(version(response));
		}
		if (status == 409) {
			return new StoreWrite.LeaseGone();
		}
		if (status >= 500) {
			return new StoreWrite.Undecided("the store answered with status " + status);
		}
		return new StoreWrite.Rejected("the store answered with status " + status);
	}

	@Override
	public Future<StoreLease> grantLease(long leaseMillis) {
		return lease(HttpMethod.POST, "/v1/leases", new JsonObject().put("ttlMillis", leaseMillis).toBuffer(),
				(body) -> new StoreLease.Granted(body.getLong("lease")));
	}

	@Override
	public Future<StoreLease> renewLease(long lease) {
		return lease(HttpMethod.POST, "/v1/leases/" + lease + "/renew", Buffer.buffer(),
				(body) -> new StoreLease.Renewed());
	}

	@Override
	public Future<StoreLease> revokeLease(long lease) {
		return lease(HttpMethod.DELETE, "/v1/leases/" + lease, Buffer.buffer(), (body) -> new StoreLease.Revoked());
	}

	private Future<StoreLease> lease(HttpMethod method, String uri, Buffer content,
			Function<JsonObject, StoreLease> onSuccess) {
		return this.client.call(options(method, uri), content, this.callTimeoutMillis)
			.map((response) -> toLease(response.status(), response.body(), onSuccess))
			.otherwise((cause) -> new StoreLease.Undecided(cause.getMessage()));
	}

	private static StoreLease toLease(int status, Buffer body, Function<JsonObject, StoreLease> onSuccess) {
		return switch (status) {
			case 200 -> onSuccess.apply(body.toJsonObject());
			case 404 -> new StoreLease.Gone();
			default -> new StoreLease.Undecided("the store answered with status " + status);
		};
	}

	private static long version(ReceivedResponse response) {
		return Long.parseLong(response.headers().get(VERSION_HEADER));
	}

	private RequestOptions options(HttpMethod method, String uri) {
		return new RequestOptions().setMethod(method)
			.setHost(this.base.getHost())
			.setPort(this.base.getPort())
			.setURI(uri);
	}

}
