package io.balsamlane.router.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.orders.EngineOrder;
import io.balsamlane.core.scheduling.EngineDescriptor;
import io.balsamlane.router.engine.DecodeCall;
import io.balsamlane.router.engine.DecodeEvent;
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
import io.balsamlane.standin.proxy.InvalidResponse;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response with an invalid status line or framing that a call of an
 * engine, of the store or of the host list takes for an answer.
 */
class InvalidControlResponseTests {

	private static final int TIMEOUT_MILLIS = 1000;

	private static final int CHECK_MILLIS = 5;

	/** Number of connections that the client has closed. */
	private static final AtomicInteger CLOSED = new AtomicInteger();

	private static final String HOSTS = "[{\"host\":\"service-1\",\"kind\":\"service\",\"name\":\"ledger\","
			+ "\"place\":\"doto-a\",\"region\":\"doto\",\"address\":\"127.0.0.1\",\"port\":1,\"state\":\"live\"}]";

	private static final Pattern REQUEST_ID = Pattern.compile("(?i)\r\nx-request-id: ([^\r]*)");

	private final Vertx vertx = Vertx.vertx();

	/** Fault of the responses, null if there is none. */
	private volatile InvalidResponse fault;

	private NetServer server;

	private volatile String content;

	@BeforeEach
	void start() throws Exception {
		this.server = this.vertx.createNetServer().connectHandler((socket) -> {
			StringBuilder pending = new StringBuilder();
			socket.exceptionHandler((cause) -> {
			});
			socket.closeHandler((closed) -> CLOSED.incrementAndGet());
			socket.handler((bytes) -> {
				pending.append(bytes);
				// The body of each of these calls arrives with its head.
				if (pending.indexOf("\r\n\r\n") >= 0) {
					respond(socket, pending.toString());
					pending.setLength(0);
				}
			});
		});
		await(this.server.listen(0, "127.0.0.1"));
	}

	private void respond(NetSocket socket, String request) {
		Matcher id = REQUEST_ID.matcher(request);
		String headers = (id.find() ? "X-Request-Id: " + id.group(1) + "\r\n" : "") + "X-Version: 1\r\n";
		socket.write((this.fault != null) ? this.fault.with(headers, this.content) : "HTTP/1.1 200 OK\r\n" + headers
				+ "Content-Length: " + this.content.length() + "\r\n\r\n" + this.content);
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private static Arguments call(String name, String content, String answer, String noAnswer,
			BiFunction<Vertx, Endpoint, Future<?>> call) {
		return Arguments.of(name, content, answer, noAnswer, call);
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

	private static Future<?> prefill(Vertx vertx, Endpoint server) {
		Promise<Object> result = Promise.promise();
		engines(vertx).prefill(server, new PrefillCall("attempt-1", "model", "prompt", 0, ""), result::complete);
		return result.future();
	}

	private static Future<?> decode(Vertx vertx, Endpoint server) {
		List<DecodeEvent> events = new CopyOnWriteArrayList<>();
		Promise<List<DecodeEvent>> result = Promise.promise();
		engines(vertx).decode(server, new DecodeCall("attempt-1", "model", server, "kv-1", 10, 10, 0, 0, ""),
				(event) -> {
					events.add(event);
					if (!(event instanceof DecodeEvent.Token)) {
						result.complete(events);
					}
				});
		return result.future();
	}

	private static Future<?> poll(Vertx vertx, Endpoint server) {
		EngineDescriptor engine = new EngineDescriptor("engine", "pool", EngineRole.DECODE, "model", Place.of("doto-a"),
				"doto");
		List<Object> received = new CopyOnWriteArrayList<>();
		EngineObserver observer = EngineObserver.create(vertx, () -> List.of(engine), (ignored) -> Optional.of(server),
				(described, load) -> received.add(load), (described, events) -> {
				});
		observer.start(1);
		return polled(vertx, received).onSuccess((passed) -> observer.stop());
	}

	private static Future<?> readHosts(Vertx vertx, Endpoint server) {
		List<Object> received = new CopyOnWriteArrayList<>();
		HostListReader reader = HostListReader.create(vertx,
				HostListSettings.newBuilder().setUrl("http://" + server + "/hosts").setPollMillis(60_000).build(),
				received::add);
		reader.start();
		return polled(vertx, received).onSuccess((passed) -> reader.stop());
	}

	// A poll has no result of its own: it ends with what was received, or with its
	// connection.
	private static Future<List<Object>> polled(Vertx vertx, List<Object> received) {
		long startNanos = System.nanoTime();
		Promise<List<Object>> result = Promise.promise();
		vertx.setPeriodic(CHECK_MILLIS, (timer) -> {
			boolean late = System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(2 * TIMEOUT_MILLIS);
			if (!received.isEmpty() || CLOSED.get() > 0 || late) {
				vertx.cancelTimer(timer);
				result.complete(List.copyOf(received));
			}
		});
		return result.future();
	}

	static Stream<Arguments> calls() {
		ServerName name = ServerName.of("engine");
		return Stream.of(
				call("cancel", "{\"releasedPieces\":1}", "RELEASED", "UNCONFIRMED",
						(vertx, server) -> engines(vertx).cancel(server, "attempt-1")),
				call("running attempts", "[{\"attempt\":\"a\"}]", "Optional[[a]]", "Optional.empty",
						(vertx, server) -> engines(vertx).runningAttempts(server)),
				call("probe", "{}", "ALIVE", "SILENT", (vertx, server) -> engines(vertx).probe(server)),
				call("prefill", "{\"kv\":\"kv-1\",\"tokens\":10}", "Ready[", "Broken[",
						InvalidControlResponseTests::prefill),
				call("decode", "{\"offset\":0,\"text\":\"a\"}\n{\"finish\":\"length\",\"offset\":1}\n", "[Token[",
						"[Broken[", InvalidControlResponseTests::decode),
				call("state", "{\"role\":\"decode\"}", "Read[", "Unreadable[",
						(vertx, server) -> HttpEngineOrderClient.create(vertx, TIMEOUT_MILLIS).readState(server)),
				call("order", "{}", "Accepted[", "Undecided[",
						(vertx, server) -> HttpEngineOrderClient.create(vertx, TIMEOUT_MILLIS)
							.issue(name, server, new EngineOrder(EngineOrder.Kind.ROLE, "prefill"), 1,
									System.nanoTime() + 10_000_000_000L)),
				call("load", "{\"memoryPieces\":1}", "[EngineLoad", "[]", InvalidControlResponseTests::poll),
				call("host list", HOSTS, "[HostList", "[]", InvalidControlResponseTests::readHosts),
				call("value", "value", "Found[", "Unavailable[", (vertx, server) -> store(vertx, server).get("key")),
				call("watch", "value", "Found[", "Unavailable[",
						(vertx, server) -> store(vertx, server).watch("key", 1)),
				call("write", "", "Written[", "Undecided[",
						(vertx, server) -> store(vertx, server).compareAndSet("key", new byte[1], 1)),
				call("lease", "{\"lease\":1}", "Granted[", "Undecided[",
						(vertx, server) -> store(vertx, server).grantLease(1000)));
	}

	private Object result(BiFunction<Vertx, Endpoint, Future<?>> call) throws Exception {
		CLOSED.set(0);
		Promise<Object> result = Promise.promise();
		this.vertx.runOnContext((ignored) -> call.apply(this.vertx, Endpoint.of("127.0.0.1", this.server.actualPort()))
			.onSuccess(result::complete)
			.onFailure(result::fail));
		return await(result.future());
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("calls")
	void invalidResponseIsNotTakenForAnswer(String name, String body, String answer, String noAnswer,
			BiFunction<Vertx, Endpoint, Future<?>> call) throws Exception {
		this.content = body;
		assertThat(result(call)).asString().startsWith(answer);
		SoftAssertions.assertSoftly((softly) -> InvalidResponse.all().forEach((next) -> {
			this.fault = next;
			try {
				softly.assertThat(result(call))
					.as("%s", next)
					.asString()
					.startsWith(noAnswer)
					.doesNotContainPattern("status -?\\d");
			}
			catch (Exception ex) {
				softly.fail("%s", next, ex);
			}
		}));
	}

}
