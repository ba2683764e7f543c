package io.balsamlane.cli;

import java.net.URI;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/**
 * Access to the operator port of one router. Each call waits for its answer.
 */
final class RouterClient {

	private static final int CALL_TIMEOUT_SECONDS = 15;

	private final HttpClient client;

	private final URI base;

	private final String key;

	private RouterClient(Vertx vertx, URI base, String key) {
		this.client = vertx.createHttpClient();
		this.base = base;
		this.key = key;
	}

	static RouterClient create(Vertx vertx, URI base, String key) {
		return new RouterClient(vertx, base, key);
	}

	<T extends Message.Builder> T read(String path, T builder) {
		return parse(call(HttpMethod.GET, path, Buffer.buffer()).body(), builder);
	}

	Answer get(String path) {
		return call(HttpMethod.GET, path, Buffer.buffer());
	}

	Answer post(String path, Message message) {
		try {
			return call(HttpMethod.POST, path, Buffer.buffer(JsonFormat.printer().print(message)));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("A message of the schema cannot be printed", ex);
		}
	}

	private Answer call(HttpMethod method, String path, Buffer body) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(this.base.getHost())
			.setPort(this.base.getPort())
			.setURI("/admin/v1/" + path);
		if (!this.key.isEmpty()) {
			options.putHeader("Authorization", "Bearer " + this.key);
		}
		Future<Answer> answer = this.client.request(options)
			.compose((request) -> request.send(body))
			.compose((response) -> response.body()
				.map((received) -> new Answer(response.statusCode(), received.toString())));
		try {
			return answer.toCompletionStage().toCompletableFuture().get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new UnreachableException("Router " + this.base + " gives no answer (" + ex.getMessage()
					+ "); name another router with --server");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new UnreachableException("The call was interrupted");
		}
	}

	private static <T extends Message.Builder> T parse(String json, T builder) {
		try {
			JsonFormat.parser().ignoringUnknownFields().merge(json, builder);
			return builder;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new UnreachableException("The router's answer cannot be read: " + ex.getMessage());
		}
	}

	/**
	 * Answer of a router.
	 *
	 * @param status HTTP status code
	 * @param body JSON text
	 */
	record Answer(int status, String body) {
	}

	/**
	 * No router gave a usable answer.
	 */
	static class UnreachableException extends RuntimeException {

		UnreachableException(String message) {
			super(message);
		}

	}

}
