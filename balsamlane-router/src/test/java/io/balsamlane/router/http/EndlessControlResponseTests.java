package io.balsamlane.router.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.stream.Stream;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.EngineOrder;
import io.balsamlane.core.scheduling.EngineDescriptor;
import io.balsamlane.router.engine.DecodeCall;
import io.balsamlane.router.engine.EngineObserver;
import io.balsamlane.router.engine.HttpEngineClient;
import io.balsamlane.router.engine.PrefillCall;
import io.balsamlane.router.hosts.HostListReader;
import io.balsamlane.router.orders.HttpEngineOrderClient;
import io.balsamlane.router.store.HttpPlatformStore;
import io.balsamlane.schema.EngineRole;
import io.balsamlane.schema.EngineSettings;
import io.balsamlane.schema.HostListSettings;
import io.balsamlane.schema.StoreSettings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the calls that read a response completely against a server whose response does
 * not end. Guards against a router that runs out of memory, or a connection that stays
 * occupied.
 */
class EndlessControlResponseTests {

	/** Well above the largest response that is read, plus socket buffers. */
	private static final long MAX_SENT_BYTES = 32L << 20;

	private static final int TIMEOUT_MILLIS = 1000;

	private static final Buffer BLOCK = Buffer.buffer("x".repeat(16_384));

	private final Vertx vertx = Vertx.vertx();

	private final AtomicInteger open = new AtomicInteger();

	/** Bytes sent on the connection that has sent most. */
	private final AtomicLong mostSentBytes = new AtomicLong();

	private NetServer server;

	@BeforeEach
	void start() throws Exception {
		this.server = this.vertx.createNetServer().connectHandler((socket) -> {
			this.open.incrementAndGet();
			boolean[] closed = new boolean[1];
			socket.exceptionHandler((cause) -> {
			});
			socket.closeHandler((ended) -> {
				closed[0] = true;
				this.open.decrementAndGet();
			});
			socket.handler((request) -> {
				int status = request.toString().startsWith("POST /v1/decode") ? 500 : 200;
				socket.write("HTTP/1.1 " + status + " X\r\nX-Version: 1\r\n\r\n");
				flood(socket, closed, 0);
			});
		});
		await(this.server.listen(0, "127.0.0.1"));
	}

	private void flood(NetSocket socket, boolean[] closed, long sentBytes) {
		if (!closed[0] && sentBytes <= MAX_SENT_BYTES) {
			long nextBytes = sentBytes + BLOCK.length();
			this.mostSentBytes.accumulateAndGet(nextBytes, Math::max);
			socket.write(BLOCK).onSuccess((written) -> flood(socket, closed, nextBytes));
		}
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private static Arguments call(String name, BiFunction<Vertx, Endpoint, Future<?>> call) {
		return Arguments.of(name, call);
	}

	private static HttpEngineClient engines(Vertx vertx) {
		return HttpEngineClient.create(vertx,
				EngineSettings.newBuilder()
					.setConnectTimeoutMillis(TIMEOUT_MILLIS)
					.setProbeTimeoutMillis(TIMEOUT_MILLIS)
					.build());
	}

	private static HttpPlatformStore store(Vertx vertx, Endpoint server) {
		return HttpPlatformStore.create(vertx,
				StoreSettings.newBuilder()
					.setUrl("http://" + server)
					.setCallTimeoutMillis(TIMEOUT_MILLIS)
					.setWatchWaitMillis(TIMEOUT_MILLIS)
					.build());
	}

	static Stream<Arguments> calls() {
		ServerName name = ServerName.of("engine");
		return Stream.of(call("cancel", (vertx, server) -> engines(vertx).cancel(server, "attempt-1")),
				call("running attempts", (vertx, server) -> engines(vertx).runningAttempts(server)),
				call("probe", (vertx, server) -> engines(vertx).probe(server)), call("prefill", (vertx, server) -> {
					Promise<Object> result = Promise.promise();
					engines(vertx).prefill(server, new PrefillCall("attempt-1", "model", "prompt", 0, ""),
							result::complete);
					return result.future();
				}), call("refused decode", (vertx, server) -> {
					Promise<Object> result = Promise.promise();
					engines(vertx).decode(server,
							new DecodeCall("attempt-1", "model", server, "kv-1", 10, 10, 0, 0, ""), result::complete);
					return result.future();
				}),
				call("state", (vertx, server) -> HttpEngineOrderClient.create(vertx, TIMEOUT_MILLIS).readState(server)),
				call("order",
						(vertx, server) -> HttpEngineOrderClient.create(vertx, TIMEOUT_MILLIS)
							.issue(name, server, new EngineOrder(EngineOrder.Kind.ROLE, "prefill"), 1,
									System.nanoTime() + 10_000_000_000L)),
				call("load", (vertx, server) -> {
					EngineDescriptor engine = new EngineDescriptor("engine", "pool", EngineRole.DECODE, "model",
							Place.of("doto-a"), "doto");
					EngineObserver observer = EngineObserver.create(vertx, () -> List.of(engine),
							(ignored) -> Optional.of(server), (described, load) -> {
							}, (described, events) -> {
							});
					observer.start(100);
					return vertx.timer(TIMEOUT_MILLIS).onSuccess((passed) -> observer.stop());
				}), call("host list", (vertx, server) -> {
					HostListReader reader = HostListReader.create(vertx,
							HostListSettings.newBuilder()
								.setUrl("http://" + server + "/hosts")
								.setPollMillis(60_000)
								.build(),
							(hosts) -> {
							});
					reader.start();
					return vertx.timer(TIMEOUT_MILLIS).onSuccess((passed) -> reader.stop());
				}), call("value", (vertx, server) -> store(vertx, server).get("key")),
				call("watch", (vertx, server) -> store(vertx, server).watch("key", 1)),
				call("write", (vertx, server) -> store(vertx, server).compareAndSet("key", new byte[1], 1)),
				call("lease", (vertx, server) -> store(vertx, server).grantLease(1000)));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("calls")
	void responseIsAborted(String name, BiFunction<Vertx, Endpoint, Future<?>> call) throws Exception {
		Endpoint endpoint = Endpoint.of("127.0.0.1", this.server.actualPort());
		Promise<Object> result = Promise.promise();
		this.vertx.runOnContext(
				(ignored) -> call.apply(this.vertx, endpoint).onComplete((done) -> result.complete(done.result())));
		await(result.future());
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.open.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
			Thread.sleep(5);
		}
		assertThat(this.open).hasValue(0);
		assertThat(this.mostSentBytes.get()).isBetween(1L, MAX_SENT_BYTES);
	}

}
