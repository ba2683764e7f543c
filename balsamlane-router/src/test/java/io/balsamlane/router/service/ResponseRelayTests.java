package io.balsamlane.router.service;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.balsamlane.schema.StoredAnswer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of the relay of answers that break off or do not end. Guards against an answer
 * that was cut off and reaches the caller as complete, and against a router that reads an
 * answer without end for a caller that has gone.
 */
class ResponseRelayTests {

	private static final int MAX_STORED_BYTES = 1000;

	private static final long MAX_SENT_BYTES = 64L << 20;

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = this.vertx.createHttpClient();

	private final Promise<StoredAnswer> relayed = Promise.promise();

	private final AtomicLong sentBytes = new AtomicLong();

	private NetServer replica;

	private HttpServer router;

	private volatile String mode;

	@BeforeEach
	void start() throws Exception {
		this.replica = this.vertx.createNetServer()
			.connectHandler((socket) -> socket.handler((request) -> respond(socket)));
		await(this.replica.listen(0, "127.0.0.1"));
		this.router = this.vertx.createHttpServer()
			.requestHandler(
					(request) -> this.client.request(HttpMethod.GET, this.replica.actualPort(), "127.0.0.1", "/")
						.compose(HttpClientRequest::send)
						.onSuccess((response) -> relay(response, request.response())));
		await(this.router.listen(0, "127.0.0.1"));
	}

	private void relay(HttpClientResponse response, HttpServerResponse to) {
		response.pause();
		ResponseRelay.relay(response, to, MAX_STORED_BYTES).onComplete(this.relayed);
	}

	private void respond(NetSocket socket) {
		boolean[] closed = new boolean[1];
		socket.exceptionHandler((cause) -> {
		});
		socket.closeHandler((ended) -> closed[0] = true);
		socket.write("HTTP/1.1 200 OK\r\n\r\ncontent");
		if (this.mode.equals("second")) {
			socket.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
		}
		if (this.mode.equals("endless")) {
			flood(socket, closed);
			return;
		}
		this.vertx.setTimer(100, (id) -> {
			if (this.mode.equals("reset")) {
				Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
				channel.config().setOption(ChannelOption.SO_LINGER, 0);
				channel.close();
			}
			else {
				socket.close();
			}
		});
	}

	private void flood(NetSocket socket, boolean[] closed) {
		if (!closed[0] && this.sentBytes.addAndGet(16_384) <= MAX_SENT_BYTES) {
			socket.write(Buffer.buffer("x".repeat(16_384))).onSuccess((written) -> flood(socket, closed));
		}
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private Socket call() throws Exception {
		Socket socket = new Socket("127.0.0.1", this.router.actualPort());
		socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		socket.setSoTimeout(5000);
		return socket;
	}

	@ParameterizedTest
	@ValueSource(strings = { "reset", "close" })
	void answerWithoutLengthIsCompleteOnlyAfterOrderlyClose(String ending) throws Exception {
		this.mode = ending;
		StringBuilder received = new StringBuilder();
		try (Socket socket = call()) {
			InputStream in = socket.getInputStream();
			int value = in.read();
			while (value >= 0) {
				received.append((char) value);
				value = received.toString().endsWith("0\r\n\r\n") ? -1 : in.read();
			}
		}
		catch (java.net.SocketException ex) {
			assertThat(ending).as("a reset shows that the answer is incomplete").isEqualTo("reset");
		}
		if (ending.equals("close")) {
			assertThat(received.toString()).contains("content").endsWith("0\r\n\r\n");
			assertThat(await(this.relayed.future()).getStatus()).isEqualTo(200);
		}
		else {
			assertThat(received.toString()).doesNotEndWith("0\r\n\r\n");
			assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(this.relayed.future()));
		}
	}

	@Test
	void answerWithoutEndIsAbortedAfterCallerHasGone() throws Exception {
		this.mode = "endless";
		try (Socket socket = call()) {
			assertThat(socket.getInputStream().read()).isEqualTo('H');
		}
		assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(this.relayed.future()));
		assertThat(this.sentBytes.get()).isLessThan(MAX_SENT_BYTES);
	}

	@Test
	void secondResponseWithinAnswerWithoutLengthIsNeitherRelayedNorStored() throws Exception {
		this.mode = "second";
		StringBuilder received = new StringBuilder();
		try (Socket socket = call()) {
			InputStream in = socket.getInputStream();
			for (int value = in.read(); value >= 0; value = in.read()) {
				received.append((char) value);
			}
		}
		catch (java.net.SocketException ex) {
			// A reset shows that the answer is incomplete.
		}
		assertThat(received.toString()).doesNotContain("second").doesNotEndWith("0\r\n\r\n");
		assertThatExceptionOfType(ExecutionException.class).isThrownBy(() -> await(this.relayed.future()));
	}

}
