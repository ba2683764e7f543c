package io.balsamlane.router.edge;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import io.balsamlane.schema.Settings;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that invalid or slow input gets a specific error and does not hold resources of
 * the router.
 */
class CallerInputTests {

	private EdgeFixture fixture;

	@BeforeEach
	void setUp() {
		Settings.Builder settings = EdgeFixture.settings();
		settings.getEdgeBuilder().setIdleTimeoutMillis(1500).setBodyTimeoutMillis(1000).setMaxStreamBufferBytes(2000);
		this.fixture = EdgeFixture.withEngines(1, 1, 1500).start(settings.build());
	}

	@AfterEach
	void tearDown() {
		EdgeFixture.awaitThat("no request is held", () -> this.fixture.callers().inProgress() == 0);
		this.fixture.close();
	}

	private static String post(String headers, String body) {
		return "POST /v1/completions HTTP/1.1\r\nHost: r\r\n" + headers + "Content-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

	static Stream<Arguments> brokenInput() {
		return Stream.of(Arguments.of(ErrorKind.MALFORMED_HTTP, "NONSENSE\r\n\r\n"),
				Arguments.of(ErrorKind.HEADERS_TOO_LARGE, post("X-Long: " + "x".repeat(9000) + "\r\n", "{}")),
				Arguments.of(ErrorKind.HEADERS_TOO_LARGE, "GET /" + "x".repeat(9000) + " HTTP/1.1\r\n\r\n"),
				Arguments.of(ErrorKind.BODY_TOO_LARGE,
						"POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 100001\r\n\r\n{"),
				Arguments.of(ErrorKind.BODY_TOO_LARGE,
						"POST /v1/completions HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n"
								+ "x".repeat(100_001) + "\r\n0\r\n\r\n"),
				Arguments.of(ErrorKind.SLOW_REQUEST,
						"POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 100\r\n\r\n{"),
				Arguments.of(ErrorKind.MALFORMED_REQUEST, post("", "{\"model\":")),
				Arguments.of(ErrorKind.MALFORMED_REQUEST, post("", "[1]")),
				Arguments.of(ErrorKind.MALFORMED_REQUEST, post("", "{\"model\":7,\"prompt\":\"wax\"}")),
				Arguments.of(ErrorKind.MALFORMED_REQUEST, post("", "{\"model\":\"draft-service\"}")),
				Arguments.of(ErrorKind.MALFORMED_REQUEST,
						post("", "{\"model\":\"draft-service\",\"prompt\":\"wax\",\"max_tokens\":\"many\"}")),
				Arguments.of(ErrorKind.MALFORMED_REQUEST,
						post("", "{\"model\":\"draft-service\",\"prompt\":[{\"type\":\"image\"}]}")),
				Arguments.of(ErrorKind.UNKNOWN_MODEL, post("", "{\"model\":\"none\",\"prompt\":\"wax\"}")),
				Arguments.of(ErrorKind.WRONG_METHOD, "GET /v1/completions HTTP/1.1\r\nHost: r\r\n\r\n"),
				Arguments.of(ErrorKind.UNKNOWN_PATH, "GET /nothing HTTP/1.1\r\nHost: r\r\n\r\n"));
	}

	@ParameterizedTest
	@MethodSource("brokenInput")
	void invalidInputGetsSpecificError(ErrorKind kind, String input) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.fixture.port())) {
			socket.getOutputStream().write(input.getBytes(StandardCharsets.UTF_8));
			String answer = read(socket);
			// The protocol version of a request that cannot be parsed is unknown.
			assertThat(answer).containsPattern("^HTTP/1\\.[01] " + kind.status());
			JsonObject problem = new JsonObject(answer.substring(answer.indexOf("\r\n\r\n") + 4));
			assertThat(problem.getString("kind")).isEqualTo(kind.text());
			assertThat(problem.getString("ran")).isEqualTo("no");
			assertThat(problem.getString("remedy")).isNotBlank();
			assertThat(problem.getJsonObject("error").getString("code")).isEqualTo(kind.text());
		}
	}

	@Test
	void promptOfTextPartsIsAccepted() throws IOException {
		String body = "{\"model\":\"draft-service\",\"max_tokens\":2,\"prompt\":[{\"type\":\"text\",\"text\":\"wax\"}]}";
		try (Socket socket = new Socket("127.0.0.1", this.fixture.port())) {
			socket.getOutputStream().write(post("", body).getBytes(StandardCharsets.UTF_8));
			assertThat(read(socket)).startsWith("HTTP/1.1 200");
		}
	}

	@Test
	void connectionWithSlowHeadersIsClosed() throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.fixture.port())) {
			socket.setSoTimeout(5000);
			long startNanos = System.nanoTime();
			boolean open = true;
			while (open && System.nanoTime() - startNanos < 5_000_000_000L) {
				try {
					socket.getOutputStream().write('x');
					EdgeFixture.sleep(50);
				}
				catch (IOException ex) {
					open = false;
				}
			}
			assertThat(open).isFalse();
		}
	}

	@Test
	void truncatedBodyReleasesItsRequest() throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.fixture.port())) {
			socket.getOutputStream()
				.write("POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 100\r\n\r\n{"
					.getBytes(StandardCharsets.UTF_8));
			EdgeFixture.awaitThat("the request is seen", () -> this.fixture.callers().inProgress() == 1);
		}
		EdgeFixture.awaitThat("the request is gone", () -> this.fixture.callers().inProgress() == 0);
	}

	@Test
	void newRequestsAreRefusedDuringShutdownWhileStreamsFinish() throws IOException {
		String body = "{\"model\":\"draft-service\",\"max_tokens\":40,\"stream\":true,\"prompt\":\"wax\"}";
		try (Socket running = new Socket("127.0.0.1", this.fixture.port())) {
			running.getOutputStream().write(post("", body).getBytes(StandardCharsets.UTF_8));
			EdgeFixture.awaitThat("the stream runs", () -> this.fixture.callers().inProgress() == 1);
			this.fixture.callers().refuseNew();
			try (Socket late = new Socket("127.0.0.1", this.fixture.port())) {
				late.getOutputStream().write(post("", body).getBytes(StandardCharsets.UTF_8));
				assertThat(read(late)).startsWith("HTTP/1.1 503")
					.containsIgnoringCase("connection: close")
					.contains("shutting-down", "\"ran\":\"no\"");
			}
			assertThat(read(running)).contains("data: [DONE]");
		}
	}

	private static String read(Socket socket) throws IOException {
		socket.setSoTimeout(3000);
		StringBuilder answer = new StringBuilder();
		InputStream input = socket.getInputStream();
		byte[] buffer = new byte[8192];
		try {
			int length = input.read(buffer);
			while (length > 0) {
				answer.append(new String(buffer, 0, length, StandardCharsets.UTF_8));
				length = input.read(buffer);
			}
		}
		catch (SocketTimeoutException ex) {
			answer.append("(connection stays open)");
		}
		return answer.toString();
	}

}
