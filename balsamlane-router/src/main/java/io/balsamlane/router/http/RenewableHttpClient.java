package io.balsamlane.router.http;

import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.RequestOptions;

/**
 * {@link BoundedHttpClient} for one server whose open connections may go silent without a
 * reset, while new ones work. A call that times out shows that its connection may be
 * silent, and with it all others that were open at that time: further calls use new
 * connections.
 */
public final class RenewableHttpClient {

	private final Vertx vertx;

	private final Supplier<HttpClient> pools;

	private final int maxBodyBytes;

	private final Runnable replacementListener;

	private final AtomicReference<Pool> pool;

	private RenewableHttpClient(Vertx vertx, Supplier<HttpClient> pools, int maxBodyBytes,
			Runnable replacementListener) {
		this.vertx = vertx;
		this.pools = pools;
		this.maxBodyBytes = maxBodyBytes;
		this.replacementListener = replacementListener;
		this.pool = new AtomicReference<>(open());
	}

	/**
	 * Create a client.
	 * @param vertx the event loop
	 * @param pools creates a pool of connections
	 * @param maxBodyBytes maximum size of the body of a response, in bytes
	 * @param replacementListener notified when the connections are replaced
	 * @return the client
	 */
	public static RenewableHttpClient create(Vertx vertx, Supplier<HttpClient> pools, int maxBodyBytes,
			Runnable replacementListener) {
		return new RenewableHttpClient(vertx, pools, maxBodyBytes, replacementListener);
	}

	private Pool open() {
		return new Pool(this.pools.get(), this.maxBodyBytes);
	}

	/**
	 * Make a call.
	 * @param options address, method, path and headers
	 * @param content body of the request
	 * @param timeoutMillis time limit of the call, in milliseconds
	 * @return the response; fails if it is not complete within the limits
	 */
	public Future<ReceivedResponse> call(RequestOptions options, Buffer content, long timeoutMillis) {
		Pool used = this.pool.get();
		while (!used.tryBeginCall()) {
			used = this.pool.get();
		}
		return call(used, options, content, timeoutMillis);
	}

	private Future<ReceivedResponse> call(Pool used, RequestOptions options, Buffer content, long timeoutMillis) {
		return used.client.call(options, content, timeoutMillis).onComplete((done) -> {
			if (done.cause() instanceof TimeoutException) {
				replace(used);
			}
			used.endCall();
		});
	}

	/**
	 * Make a call that the server answers late on purpose. If the response is overdue, a
	 * second call on a new connection shows whether the first connection is silent or the
	 * server is slow. The first of the two responses counts.
	 * @param options address, method, path and headers
	 * @param confirmation the second call, to which the server responds at once
	 * @param overdueMillis time after which the response to the first call is overdue, in
	 * milliseconds
	 * @param timeoutMillis time limit of both calls together, in milliseconds
	 * @return the response; fails if neither call is complete within the limits
	 */
	public Future<ReceivedResponse> callConfirmed(RequestOptions options, RequestOptions confirmation,
			long overdueMillis, long timeoutMillis) {
		Pool used = this.pool.get();
		Promise<ReceivedResponse> first = Promise.promise();
		call(options, Buffer.buffer(), timeoutMillis).onSuccess(first::tryComplete).onFailure(first::tryFail);
		long timer = this.vertx.setTimer(overdueMillis, (id) -> {
			replace(used);
			call(confirmation, Buffer.buffer(), Math.max(1, timeoutMillis - overdueMillis))
				.onSuccess(first::tryComplete);
		});
		return first.future().onComplete((done) -> this.vertx.cancelTimer(timer));
	}

	private void replace(Pool suspected) {
		if (this.pool.get() != suspected) {
			return;
		}
		Pool next = open();
		if (this.pool.compareAndSet(suspected, next)) {
			suspected.retire();
			this.replacementListener.run();
		}
		else {
			next.retire();
		}
	}

	/**
	 * Pool of connections that is closed once it has been replaced and its calls have
	 * ended. Calls in progress keep their connections, which may only be slow.
	 */
	private static final class Pool {

		private final HttpClient connections;

		private final BoundedHttpClient client;

		private int calls;

		private boolean retired;

		Pool(HttpClient connections, int maxBodyBytes) {
			this.connections = connections;
			this.client = BoundedHttpClient.of(connections, maxBodyBytes);
		}

		synchronized boolean tryBeginCall() {
			if (this.retired) {
				return false;
			}
			this.calls++;
			return true;
		}

		synchronized void endCall() {
			this.calls--;
			closeIfUnused();
		}

		synchronized void retire() {
			this.retired = true;
			closeIfUnused();
		}

		private void closeIfUnused() {
			if (this.retired && this.calls == 0) {
				this.connections.close();
			}
		}

	}

}
