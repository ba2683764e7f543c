package io.balsamlane.router.store;

import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.balsamlane.schema.StoreSettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/**
 * {@link LeaseStore} that accesses the platform's key-value service over HTTP.
 */
public final class HttpPlatformStore implements LeaseStore {

	private static final int MAX_CONNECTIONS = 16;

	private static final String VERSION_HEADER = "X-Version";

	private final HttpClient client;

	private final URI base;

	private final int watchWaitMillis;

	private final int callTimeoutMillis;

	private HttpPlatformStore(Vertx vertx, StoreSettings settings) {
		this.base = URI.create(settings.getUrl());
		this.callTimeoutMillis = settings.getCallTimeoutMillis();
		this.watchWaitMillis = settings.getWatchWaitMillis();
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(this.callTimeoutMillis),
				new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
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
		return read("/v1/kv/" + key, this.callTimeoutMillis);
	}

	@Override
	public Future<StoreRead> watch(String key, long afterVersion) {
		return read("/v1/watch/" + key + "?after=" + afterVersion + "&wait=" + this.watchWaitMillis,
				this.watchWaitMillis + this.callTimeoutMillis);
	}

	private Future<StoreRead> read(String uri, long timeoutMillis) {
		Future<StoreRead> answer = this.client.request(options(HttpMethod.GET, uri))
			.compose((request) -> request.send())
			.compose((response) -> response.body().map((body) -> toRead(response, body)));
		return answer.timeout(timeoutMillis, TimeUnit.MILLISECONDS)
			.otherwise((cause) -> new StoreRead.Unavailable(cause.getMessage()));
	}

	private static StoreRead toRead(HttpClientResponse response, Buffer body) {
		return switch (response.statusCode()) {
			case 200 -> new StoreRead.Found(body.getBytes(), version(response));
			case 204 -> new StoreRead.Unchanged();
			case 404 -> new StoreRead.Absent();
			default -> new StoreRead.Unavailable("the store answered with status " + response.statusCode());
		};
	}

	@Override
	public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion) {
		return write(writeOptions(key, expectedVersion), value);
	}

	@Override
	public Future<StoreWrite> compareAndSet(String key, byte[] value, long expectedVersion, long lease) {
		return write(writeOptions(key, expectedVersion).putHeader("X-Lease", Long.toString(lease)), value);
	}

	private RequestOptions writeOptions(String key, long expectedVersion) {
		return options(HttpMethod.PUT, "/v1/kv/" + key).putHeader("If-Version", Long.toString(expectedVersion));
	}

	private Future<StoreWrite> write(RequestOptions options, byte[] value) {
		Future<StoreWrite> answer = this.client.request(options)
			.compose((request) -> request.send(Buffer.buffer(value)))
			.compose((response) -> response.body().map((body) -> toWrite(response)));
		return answer.timeout(this.callTimeoutMillis, TimeUnit.MILLISECONDS)
			.otherwise((cause) -> new StoreWrite.Undecided(cause.getMessage()));
	}

	@Override
	public Future<StoreWrite> delete(String key) {
		Future<StoreWrite> answer = this.client.request(options(HttpMethod.DELETE, "/v1/kv/" + key))
			.compose((request) -> request.send())
			.compose((response) -> response.body().map((body) -> toWrite(response)));
		return answer.timeout(this.callTimeoutMillis, TimeUnit.MILLISECONDS)
			.otherwise((cause) -> new StoreWrite.Undecided(cause.getMessage()));
	}

	private static StoreWrite toWrite(HttpClientResponse response) {
		int status = response.statusCode();
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
		Future<StoreLease> answer = this.client.request(options(method, uri))
			.compose((request) -> request.send(content))
			.compose((response) -> response.body().map((body) -> toLease(response.statusCode(), body, onSuccess)));
		return answer.timeout(this.callTimeoutMillis, TimeUnit.MILLISECONDS)
			.otherwise((cause) -> new StoreLease.Undecided(cause.getMessage()));
	}

	private static StoreLease toLease(int status, Buffer body, Function<JsonObject, StoreLease> onSuccess) {
		return switch (status) {
			case 200 -> onSuccess.apply(body.toJsonObject());
			case 404 -> new StoreLease.Gone();
			default -> new StoreLease.Undecided("the store answered with status " + status);
		};
	}

	private static long version(HttpClientResponse response) {
		return Long.parseLong(response.getHeader(VERSION_HEADER));
	}

	private RequestOptions options(HttpMethod method, String uri) {
		return new RequestOptions().setMethod(method)
			.setHost(this.base.getHost())
			.setPort(this.base.getPort())
			.setURI(uri);
	}

}
