package io.balsamlane.router.http;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a replaced pool of connections that delays the end of the process or
 * interrupts calls in progress, and against connections of a replaced pool that stay
 * open.
 */
class RenewableHttpClientTests {

	private static final long LONGEST_CALL_MILLIS = 10_000;

	private final Vertx serverVertx = Vertx.vertx();

	private final Vertx vertx = Vertx.vertx();

	private final List<HttpServerRequest> held = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger replacements = new AtomicInteger();

	private HttpServer server;

	private RenewableHttpClient client;

	@BeforeEach
	void start() throws Exception {
		this.server = this.serverVertx.createHttpServer().connectionHandler((connection) -> {
			this.connections.incrementAndGet();
			connection.closeHandler((closed) -> this.connections.decrementAndGet());
		}).requestHandler((request) -> {
			if (request.path().equals("/held")) {
				this.held.add(request);
			}
			else {
				request.response().end();
			}
		});
		await(this.server.listen(0, "127.0.0.1"));
		this.client = RenewableHttpClient.create(this.vertx, this.vertx::createHttpClient, 1000,
				this.replacements::incrementAndGet);
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
		await(this.serverVertx.close());
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

	private Future<ReceivedResponse> callInProgressOnReplacedPool() throws Exception {
		Future<ReceivedResponse> inProgress = call("/held", LONGEST_CALL_MILLIS);
		awaitTrue(() -> this.held.size() == 1);
		assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(call("/held", 200)));
		assertThat(this.replacements).hasValue(1);
		return inProgress;
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
	}

	private static void awaitTrue(BooleanSupplier condition) throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime() - deadlineNanos).as("the condition becomes true in time").isNegative();
			Thread.sleep(5);
		}
	}

	@Test
	void closingVertxDoesNotWaitForReplacedPool() throws Exception {
		callInProgressOnReplacedPool();
		long startedNanos = System.nanoTime();
		await(this.vertx.close());
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)).isLessThan(LONGEST_CALL_MILLIS / 4);
	}

	@Test
	void callInProgressReceivesItsResponseOnReplacedPool() throws Exception {
		Future<ReceivedResponse> inProgress = callInProgressOnReplacedPool();
		assertThat(await(call("/next", 5000)).status()).isEqualTo(200);
		System.gc();
		Thread.sleep(200);
		this.held.get(0).response().end();
		assertThat(await(inProgress).status()).isEqualTo(200);
	}

	@Test
	void connectionsOfReplacedPoolCloseAfterItsLastCall() throws Exception {
		Future<ReceivedResponse> inProgress = callInProgressOnReplacedPool();
		this.held.get(0).response().end();
		await(inProgress);
		awaitTrue(() -> this.connections.get() == 0);
		assertThat(await(call("/next", 5000)).status()).isEqualTo(200);
	}

}
