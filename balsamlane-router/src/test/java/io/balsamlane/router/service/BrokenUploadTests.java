package io.balsamlane.router.service;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.core.routing.Route;
import io.balsamlane.router.records.IntentService;
import io.balsamlane.router.timeline.Timeline;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.balsamlane.schema.NodeSettings;
import io.balsamlane.schema.PlainService;
import io.balsamlane.schema.RecordSettings;
import io.balsamlane.schema.Selector;
import io.balsamlane.schema.ServiceSettings;
import io.balsamlane.schema.Settings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an upload that its caller breaks off and that reaches a replica as a
 * complete request, or takes up the bytes of the next request on the same connection.
 */
class BrokenUploadTests {

	private static final String REPEATABLE = "/search";

	private static final String RECORDED = "/pickups";

	private static final int KEPT_BODY_BYTES = 1024;

	private static final String PART = "x".repeat(16 * KEPT_BODY_BYTES);

	private final Vertx vertx = Vertx.vertx();

	private final List<Connection> connections = new CopyOnWriteArrayList<>();

	private volatile boolean answersEarly;

	private int port;

	@BeforeEach
	void start() throws Exception {
		NetServer replica = await(this.vertx.createNetServer().connectHandler(this::accept).listen(0, "127.0.0.1"));
		Settings settings = Settings.newBuilder()
			.setNode(NodeSettings.newBuilder().setHost("router-1"))
			.setRecords(RecordSettings.newBuilder()
				.setRetentionSeconds(60)
				.setMaxAnswerBytes(8192)
				.setDecisionTimeoutMillis(5000))
			.setService(ServiceSettings.newBuilder()
				.setCallTimeoutMillis(10_000)
				.setProgressTimeoutMillis(10_000)
				.setKeptBodyBytes(KEPT_BODY_BYTES)
				.setConnectTimeoutMillis(5000))
			.build();
		ServiceCallHandler handler = ServiceCallHandler.create(this.vertx, settings, new CreatingIntentService(),
				Timeline.create("router-1", 1000, System::currentTimeMillis));
		PlainService service = PlainService.newBuilder().setName("ledger").addRepeatable("POST " + REPEATABLE).build();
		BackendServer server = new BackendServer(ServerName.of("ledger-1"), BackendServer.Kind.SERVICE, "ledger",
				Place.of("doto-a"), "doto", Endpoint.of("127.0.0.1", replica.actualPort()), false);
		Route.ToService route = new Route.ToService(List.of(server), service, Selector.getDefaultInstance());
		this.port = await(this.vertx.createHttpServer()
			.requestHandler((request) -> handler.handle(request, "request-1", "donan", route, request.uri()))
			.listen(0, "127.0.0.1")).actualPort();
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
	}

	private void accept(NetSocket socket) {
		Connection connection = new Connection(this.answersEarly);
		this.connections.add(connection);
		socket.exceptionHandler((cause) -> connection.closed = true);
		socket.closeHandler((ended) -> connection.closed = true);
		socket.handler((bytes) -> connection.receive(bytes.toString(StandardCharsets.US_ASCII), socket));
	}

	@ParameterizedTest
	@ValueSource(strings = { REPEATABLE, RECORDED })
	void chunkedUploadBrokenOffByCallerIsNotCompletedAtReplica(String path) throws Exception {
		try (Socket caller = upload(path, "Transfer-Encoding: chunked")) {
			waitUntil(() -> !this.connections.isEmpty() && this.connections.get(0).hasReceivedPart());
		}
		Connection connection = this.connections.get(0);
		waitUntil(() -> connection.closed);
		assertThat(connection.hasReceivedPart()).isTrue();
		assertThat(connection.closed).isTrue();
		assertThat(connection.received()).doesNotEndWith("\r\n0\r\n\r\n");
	}

	@ParameterizedTest
	@CsvSource({ REPEATABLE + ",Content-Length: 50000", REPEATABLE + ",Transfer-Encoding: chunked",
			RECORDED + ",Content-Length: 50000", RECORDED + ",Transfer-Encoding: chunked" })
	void connectionOfUploadResetAfterItsAnswerIsNotUsedAgain(String path, String framing) throws Exception {
		this.answersEarly = true;
		try (Socket caller = upload(path, framing)) {
			assertThat(readAnswer(caller)).endsWith("early");
			waitUntil(() -> this.connections.get(0).hasReceivedPart());
			caller.setSoLinger(true, 0);
		}
		Connection first = this.connections.get(0);
		waitUntil(() -> first.closed);
		this.answersEarly = false;
		try (Socket caller = send(path, "Content-Length: 4", "next")) {
			waitUntil(() -> first.received().endsWith("next") || this.connections.size() == 2);
			assertThat(first.hasReceivedPart()).isTrue();
			assertThat(first.received()).containsOnlyOnce("POST").doesNotEndWith("\r\n0\r\n\r\n");
			assertThat(first.closed).isTrue();
			assertThat(readAnswer(caller)).endsWith("whole");
		}
		assertThat(this.connections).hasSize(2);
		assertThat(this.connections.get(1).received()).startsWith("POST").endsWith("\r\n\r\nnext");
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 50000", "Transfer-Encoding: chunked" })
	void connectionOfUploadClosedAfterItsAnswerIsNotKept(String framing) throws Exception {
		this.answersEarly = true;
		try (Socket caller = upload(RECORDED, framing)) {
			assertThat(readAnswer(caller)).endsWith("early");
			waitUntil(() -> this.connections.get(0).hasReceivedPart());
		}
		Connection connection = this.connections.get(0);
		waitUntil(() -> connection.closed);
		assertThat(connection.closed).isTrue();
		assertThat(connection.received()).doesNotEndWith("\r\n0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void http2UploadBrokenOffByCallerIsNotCompletedAtReplica(boolean answered) throws Exception {
		this.answersEarly = answered;
		HttpClient client = this.vertx.createHttpClient(
				new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2).setHttp2ClearTextUpgrade(false));
		HttpClientRequest caller = await(client.request(HttpMethod.POST, this.port, "127.0.0.1", RECORDED));
		assertThat(caller.version()).isEqualTo(HttpVersion.HTTP_2);
		await(caller.putHeader("Idempotency-Key", "key").setChunked(true).write(PART));
		if (answered) {
			assertThat(await(caller.response().compose(HttpClientResponse::body)).toString()).isEqualTo("early");
		}
		waitUntil(() -> !this.connections.isEmpty() && this.connections.get(0).hasReceivedPart());
		Connection connection = this.connections.get(0);
		assertThat(connection.hasReceivedPart()).isTrue();
		await(caller.connection().close());
		waitUntil(() -> connection.closed);
		assertThat(connection.closed).isTrue();
		assertThat(connection.received()).doesNotEndWith("\r\n0\r\n\r\n");
	}

	private Socket upload(String path, String framing) throws IOException {
		boolean chunked = framing.startsWith("Transfer");
		return send(path, framing, chunked ? Integer.toHexString(PART.length()) + "\r\n" + PART + "\r\n" : PART);
	}

	private Socket send(String path, String framing, String content) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port);
		socket.setSoTimeout(5000);
		socket.getOutputStream()
			.write(("POST " + path + " HTTP/1.1\r\nHost: r\r\nIdempotency-Key: key\r\n" + framing + "\r\n\r\n"
					+ content)
				.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private static String readAnswer(Socket socket) throws IOException {
		StringBuilder received = new StringBuilder();
		int value = socket.getInputStream().read();
		while (value >= 0) {
			received.append((char) value);
			value = received.toString().endsWith("\r\n\r\n") ? -1 : socket.getInputStream().read();
		}
		return received + new String(socket.getInputStream().readNBytes(5), StandardCharsets.US_ASCII);
	}

	private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (!condition.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
			Thread.sleep(5);
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	/** Connection of the router to the replica, and what the replica received on it. */
	private static final class Connection {

		private final boolean answersEarly;

		private final StringBuilder received = new StringBuilder();

		private boolean answered;

		private volatile boolean closed;

		private Connection(boolean answersEarly) {
			this.answersEarly = answersEarly;
		}

		private synchronized void receive(String bytes, NetSocket socket) {
			this.received.append(bytes);
			if (!this.answered && (this.answersEarly || this.received.toString().endsWith("\r\n\r\nnext"))) {
				this.answered = true;
				socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + (this.answersEarly ? "early" : "whole"));
			}
		}

		private boolean hasReceivedPart() {
			return received().chars().filter((character) -> character == 'x').count() >= PART.length();
		}

		private synchronized String received() {
			return this.received.toString();
		}

	}

	/** Allows the dispatch of every call. */
	private static final class CreatingIntentService implements IntentService {

		@Override
		public Future<IntentReply> create(CallRecord intent) {
			return Future.succeededFuture(
					IntentReply.newBuilder().setResult(IntentReply.Result.CREATED).setRecord(intent).build());
		}

		@Override
		public Future<Boolean> report(CallRecord outcome) {
			return Future.succeededFuture(true);
		}

	}

}
