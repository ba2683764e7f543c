package io.balsamlane.router.http;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;

/**
 * HTTP client for calls with small responses, which are read completely. Each call has a
 * time limit that covers the wait for a connection, the head and the body, and its body a
 * maximum size. The connection of a call that fails is closed, so that the server cannot
 * go on sending and nobody receives a late response.
 */
public final class BoundedHttpClient {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Maximum time to wait for a connection, whatever the time limit of the call. */
	private static final long MAX_OPEN_MILLIS = 1000;

	private final HttpClient client;

	private final int maxBodyBytes;

	private BoundedHttpClient(HttpClient client, int maxBodyBytes) {
		this.client = client;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Create a client.
	 * @param client opens the connections
	 * @param maxBodyBytes maximum size of the body of a response, in bytes
	 * @return the client
	 */
	public static BoundedHttpClient of(HttpClient client, int maxBodyBytes) {
		return new BoundedHttpClient(client, maxBodyBytes);
	}

	/**
	 * Send a request and read the response.
	 * @param options address, method, path and headers
	 * @param content body of the request
	 * @param timeoutMillis time limit of the call, in milliseconds
	 * @return the response; fails if it is not complete within the limits
	 */
	public Future<ReceivedResponse> call(RequestOptions options, Buffer content, long timeoutMillis) {
		long deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
		return open(options, timeoutMillis).compose((request) -> send(request, content,
				Math.max(1, (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI)));
	}

	/**
	 * Create a request. If the future fails, no part of the request has been sent, and
	 * none will be.
	 * @param options address, method, path and headers
	 * @param timeoutMillis time limit of the call, in milliseconds
	 * @return the request, not yet sent
	 */
	public Future<HttpClientRequest> open(RequestOptions options, long timeoutMillis) {
		long limitMillis = Math.min(timeoutMillis, MAX_OPEN_MILLIS);
		Future<HttpClientRequest> opening = request(options.setConnectTimeout(limitMillis));
		// A pool that is closed may leave requests without a result.
		Future<HttpClientRequest> opened = opening.timeout(limitMillis, TimeUnit.MILLISECONDS);
		opening.onSuccess((request) -> {
			if (opened.failed()) {
				request.reset();
			}
		});
		return opened;
	}

	private Future<HttpClientRequest> request(RequestOptions options) {
		try {
			return this.client.request(options);
		}
		catch (IllegalStateException ex) {
			// The client has been closed.
			return Future.failedFuture(ex);
		}
	}

	/**
	 * Send a request and read the response.
	 * @param request the request
	 * @param content body of the request
	 * @param timeoutMillis time limit for sending and reading, in milliseconds
	 * @return the response; fails if it is not complete within the limits
	 */
	public Future<ReceivedResponse> send(HttpClientRequest request, Buffer content, long timeoutMillis) {
		Promise<ReceivedResponse> received = Promise.promise();
		InformationalResponses.limit(request, () -> received.tryFail("too many informational responses"));
		((content.length() > 0) ? request.send(content) : request.send())
			.compose((response) -> ResponseBodyReader.read(response, this.maxBodyBytes)
				.map((body) -> new ReceivedResponse(response.statusCode(), response.headers(), body)))
			.onSuccess(received::tryComplete)
			.onFailure(received::tryFail);
		return received.future().timeout(timeoutMillis, TimeUnit.MILLISECONDS).onFailure((cause) -> request.reset());
	}

}
