package io.balsamlane.cli;

import java.util.concurrent.TimeUnit;

import io.balsamlane.standin.proxy.InvalidResponse;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response with an invalid status line or framing that a command takes
 * for the answer of a router.
 */
class InvalidAnswerTests {

	private static final String CONTENT = "{\"kind\":\"answer\"}";

	private final Vertx vertx = Vertx.vertx();

	/** The bytes with which requests are answered. */
	private volatile String answer;

	private RouterClient client;

	@BeforeEach
	void start() throws Exception {
		NetServer server = await(
				this.vertx.createNetServer().connectHandler((socket) -> socket.exceptionHandler((cause) -> {
				}).handler((request) -> socket.write(this.answer))).listen(0, "127.0.0.1"));
		this.client = RouterClient.create(this.vertx, "http://127.0.0.1:" + server.actualPort(), "");
	}

	@AfterEach
	void stop() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void assertAnswer(String bytes) {
		this.answer = bytes;
		assertThat(this.client.get("status")).isEqualTo(new RouterClient.Answer(200, CONTENT));
	}

	@Test
	void validAnswersAreRead() {
		String length = "Content-Length: " + CONTENT.length() + "\r\n\r\n" + CONTENT;
		assertAnswer("HTTP/1.1 200 OK\r\n" + length);
		assertAnswer("HTTP/1.1 200\r\nA: b\r\n" + length);
		assertAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(CONTENT.length())
				+ "\r\n" + CONTENT + "\r\n0\r\n\r\n");
	}

	@Test
	void invalidResponseIsNotTakenForAnswer() {
		SoftAssertions softly = new SoftAssertions();
		InvalidResponse.all().forEach((fault) -> {
			this.answer = fault.with("", CONTENT);
			try {
				softly.fail("%s: %s", fault, this.client.get("status"));
			}
			catch (CommandException ex) {
				softly.assertThat(ex).as("%s", fault).hasMessageContaining("No router answered");
				// The call must not last until its time limit.
				softly.assertThat(ex).as("%s", fault).hasMessageNotContaining("no answer in");
			}
		});
		softly.assertAll();
	}

}
