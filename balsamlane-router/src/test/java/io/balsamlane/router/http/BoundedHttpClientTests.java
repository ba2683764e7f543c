package io.balsamlane.router.http;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against calls that are sent after their time limit, and against responses that
 * are accepted beyond the limits.
 */
class BoundedHttpClientTests {

	private static final int MAX_BODY_BYTES = 1000;

	private final Vertx vertx = Vertx.vertx();

	private final List<HttpServerRequest> received = new CopyOnWriteArrayList<>();

	private HttpServer server;

	private BoundedHttpClient client;

	@BeforeEach
	void start() throws Exception {
		this.server = this.vertx.createHttpServer().requestHandler((request) -> {
			this.received.add(request);
			if (!request.path().equals("/held")) {
				request.response().end("x".repeat(Integer.parseInt(request.path().substring(1))));
			}
		});
		await(this.server.listen(0, "127.0.0.1"));
		this.client = BoundedHttpClient.of(this.vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1)),
				MAX_BODY_BYTES);
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
	}

	private Future<ReceivedResponse> call(String uri, long timeoutMillis) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET)
			.setHost("127.0.0.1")
			.setPort(this.server.actualPort())
			.setURI(uri);
		Promise<ReceivedResponse> response = Promise.promise();
		this.vertx
			.runOnContext((ignored) -> this.client.call(options, Buffer.buffer(), timeoutMillis).onComplete(response));
		return response.future();
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	@Test
	void readsResponseUpToMaximumSize() throws Exception {
		assertThat(await(call("/" + MAX_BODY_BYTES, 5000)).body().length()).isEqualTo(MAX_BODY_BYTES);
		assertThatExceptionOfType(ExecutionException.class)
			.isThrownBy(() -> await(call("/" + (MAX_BODY_BYTES + 1), 5000)));
		assertThat(await(call("/1", 5000)).status()).isEqualTo(200);
	}

	@Test
	void callThatTimedOutWhileWaitingForConnectionIsNotSent() throws Exception {
		Future<ReceivedResponse> held = call("/held", 5000);
		while (this.received.isEmpty()) {
			Thread.sleep(5);
		}
		assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(call("/1", 200)));
		this.received.get(0).response().end();
		await(held);
		assertThat(await(call("/2", 5000)).status()).isEqualTo(200);
		assertThat(this.received).extracting(HttpServerRequest::path).containsExactly("/held", "/2");
	}

	// Guards against a watcher that waits forever on a call whose pool has been closed.
	@Test
	void callEndsAtItsTimeLimitIfThePoolNeverAnswers() throws Exception {
		Promise<HttpClientRequest> opening = Promise.promise();
		HttpClient silent = (HttpClient) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { HttpClient.class }, (proxy, method, arguments) -> opening.future());
		this.client = BoundedHttpClient.of(silent, MAX_BODY_BYTES);
		assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(call("/1", 200)))
			.withCauseInstanceOf(TimeoutException.class);
		HttpClientRequest late = await(
				this.vertx.createHttpClient().request(HttpMethod.GET, this.server.actualPort(), "127.0.0.1", "/late"));
		opening.complete(late);
		assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(late.send()));
		assertThat(this.received).isEmpty();
	}

	// Guards against an exception out of a timer that makes a call after the client's
	// end.
	@Test
	void callOnClosedClientFailsItsFuture() throws Exception {
		HttpClient closed = this.vertx.createHttpClient();
		await(closed.close());
		this.client = BoundedHttpClient.of(closed, MAX_BODY_BYTES);
		assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(call("/1", 200)))
			.withMessageContaining("closed");
	}

}
