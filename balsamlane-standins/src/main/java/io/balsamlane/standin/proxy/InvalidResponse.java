package io.balsamlane.standin.proxy;

import java.util.stream.Stream;

/**
 * Response of a failing server whose status line or framing is invalid (RFC 9112,
 * sections 4 and 6), and which a lenient reader takes for a complete one.
 *
 * @param name name of the fault
 * @param statusLine the first line, without its end
 * @param framing header lines that delimit the body, in which {@code N} is its length
 * @param chunked whether the body is sent in chunks
 */
public record InvalidResponse(String name, String statusLine, String framing, boolean chunked) {

	private static final String VALID_LINE = "HTTP/1.1 200 OK";

	/**
	 * Return all faults.
	 * @return the faults
	 */
	public static Stream<InvalidResponse> all() {
		return Stream.concat(statusLines(), framings());
	}

	private static Stream<InvalidResponse> statusLines() {
		return Stream
			.of("HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 099 OK",
					"HTTP/1.1 20 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK",
					"HTTP/1.1 0200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 2 00 OK",
					"HTTP/1.1 200x OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  OK",
					"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/1.10 200 OK", "HTTP/01.1 200 OK",
					"HTTP/1.1200 OK", "http/1.1 200 OK", "XHTTP/1.1 200 OK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
					"200 OK")
			.map((line) -> new InvalidResponse("status line '" + visible(line) + "'", line, "Content-Length: N",
					false));
	}

	private static Stream<InvalidResponse> framings() {
		Stream<InvalidResponse> lengths = Stream
			.of("Content-Length: +N", "Content-Length: -N", "Content-Length: Nx", "Content-Length: x",
					"Content-Length: 0xN", "Content-Length:", "Content-Length: N\r\nContent-Length: 1",
					"Content-Length: 1\r\nContent-Length: N", "Content-Length: N, 1", "Content-Length: 1,N",
					"Transfer-Encoding: identity\r\nContent-Length: N", "Transfer-Encoding: gzip\r\nContent-Length: N",
					"Transfer-Encoding:\r\nContent-Length: N", "Transfer-Encoding: identity", "Transfer-Encoding: gzip")
			.flatMap(
					(framing) -> Stream.of(VALID_LINE, "HTTP/1.0 200 OK").map((line) -> framing(line, framing, false)));
		Stream<InvalidResponse> chunks = Stream
			.of("Transfer-Encoding: chunked\r\nContent-Length: N", "Content-Length: N\r\nTransfer-Encoding: chunked",
					"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
					"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
					"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", "Transfer-Encoding: chunked, chunked",
					"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, identity")
			.map((framing) -> framing(VALID_LINE, framing, true));
		return Stream.concat(Stream.concat(lengths, chunks),
				Stream.of(framing("HTTP/1.0 200 OK", "Transfer-Encoding: chunked", true)));
	}

	private static InvalidResponse framing(String statusLine, String framing, boolean chunked) {
		return new InvalidResponse(statusLine.substring(0, 8) + " with '" + visible(framing) + "'", statusLine, framing,
				chunked);
	}

	private static String visible(String text) {
		return text.replace("\r\n", "|").replace('\t', '^');
	}

	/**
	 * Return the bytes of the response.
	 * @param headers further header lines, each with its end
	 * @param content the body
	 * @return the bytes, in ISO 8859-1
	 */
	public String with(String headers, String content) {
		return this.statusLine + "\r\n" + headers + this.framing.replace("N", String.valueOf(content.length()))
				+ "\r\n\r\n" + body(content);
	}

	private String body(String content) {
		return this.chunked ? Integer.toHexString(content.length()) + "\r\n" + content + "\r\n0\r\n\r\n" : content;
	}

	@Override
	public String toString() {
		return this.name;
	}

}
