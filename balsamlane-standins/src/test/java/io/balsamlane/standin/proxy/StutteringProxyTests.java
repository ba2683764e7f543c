package io.balsamlane.standin.proxy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.balsamlane.standin.fleet.Fleet;
import io.balsamlane.standin.proxy.SecondResponse.Content;
import io.balsamlane.standin.proxy.SecondResponse.Pieces;
import io.balsamlane.standin.proxy.SecondResponse.Timing;
import io.balsamlane.standin.service.PlainServiceStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StutteringProxy}. A proxy that does not send the second responses that
 * a test asks for would let the test pass on any router.
 */
class StutteringProxyTests {

	private final Vertx vertx = Vertx.vertx();

	private StutteringProxy proxy;

	private Socket socket;

	@BeforeEach
	void start() throws Exception {
		this.proxy = new StutteringProxy(await(new PlainServiceStandIn(this.vertx, 0, "service", 1).start()));
		this.socket = new Socket("127.0.0.1", await(this.proxy.start()));
		this.socket.setSoTimeout(5000);
	}

	@AfterEach
	void stop() throws Exception {
		this.socket.close();
		await(this.proxy.stop());
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void request(String id) throws IOException {
		this.socket.getOutputStream()
			.write(("GET /" + id + " HTTP/1.1\r\nhost: service\r\nx-request-id: " + id + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
	}

	private String receive() throws IOException {
		HttpMessageReader reader = new HttpMessageReader(this.socket.getInputStream());
		byte[] head = reader.readHead();
		StringBuilder message = new StringBuilder(new String(head, StandardCharsets.ISO_8859_1));
		reader.readBody(head, (piece) -> message.append(new String(piece, StandardCharsets.ISO_8859_1)));
		return message.toString();
	}

	@Test
	void responsesEchoTheIdOfTheirRequest() throws Exception {
		request("a");
		assertThat(receive()).contains("X-Request-Id: a\r\n").contains("\"path\":\"/a\"");
		this.proxy.setEchoing(false);
		request("b");
		assertThat(receive()).doesNotContain("X-Request-Id").contains("\"path\":\"/b\"");
		assertThat(this.proxy.connections()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource
	void secondResponseArrivesBeforeResponseToNextRequest(Timing timing) throws Exception {
		for (Pieces pieces : Pieces.values()) {
			this.proxy.stutter(new SecondResponse(Content.COPY, timing, pieces, 1));
			request("a");
			String first = receive();
			request("b");
			assertThat(receive()).isEqualTo(first);
			assertThat(receive()).contains("\"path\":\"/b\"");
			request("c");
			assertThat(receive()).contains("\"path\":\"/c\"");
		}
	}

	@ParameterizedTest
	@EnumSource
	void secondResponseHasItsContent(Content content) throws Exception {
		this.proxy.stutter(new SecondResponse(content, Timing.IDLE, Pieces.WHOLE, 1));
		request("a");
		String first = receive();
		String second = receive();
		String expected = switch (content) {
			case COPY -> first;
			case COPY_WITHOUT_ID -> first.replace("X-Request-Id: a\r\n", "");
			case FAILURE ->
				"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 25\r\n\r\n{\"kind\":\"internal-error\"}";
			case REFUSAL ->
				"HTTP/1.1 503 Service Unavailable\r\nX-Leaving: true\r\ncontent-length: 18\r\n\r\n{\"kind\":\"leaving\"}";
		};
		assertThat(second).isEqualTo(expected);
		Fleet.await("the piece is counted", Duration.ofSeconds(5), () -> this.proxy.sentPieces() == 1);
	}

}
