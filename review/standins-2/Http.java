package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Messages of HTTP/1.1 on plain sockets. */
final class Http {

	private Http() {
	}

	/**
	 * A request or a response.
	 *
	 * @param start request line or status line
	 * @param headers headers by name in lower case
	 * @param body the body
	 * @param complete false if the connection ended within the body
	 */
	record Message(String start, Map<String, String> headers, byte[] body, boolean complete) {

		String method() {
			return this.start.split(" ")[0];
		}

		String target() {
			return this.start.split(" ")[1];
		}

		String path() {
			return target().split("\\?", 2)[0];
		}

		int status() {
			return Integer.parseInt(this.start.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

		Map<String, String> query() {
			Map<String, String> query = new LinkedHashMap<>();
			String[] parts = target().split("\\?", 2);
			if (parts.length == 2) {
				for (String pair : parts[1].split("&")) {
					String[] words = pair.split("=", 2);
					query.put(words[0], (words.length == 2)
							? java.net.URLDecoder.decode(words[1], StandardCharsets.UTF_8) : "");
				}
			}
			return query;
		}

	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads a message; returns null if the connection ended before one began. */
	static Message read(InputStream in, boolean response) throws IOException {
		String start = line(in);
		while (start != null && start.isEmpty()) {
			start = line(in);
		}
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean complete = true;
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			while (true) {
				String size = line(in);
				if (size == null || size.isEmpty()) {
					complete = false;
					break;
				}
				int length = Integer.parseInt(size.split(";")[0].trim(), 16);
				byte[] chunk = in.readNBytes(length);
				body.write(chunk);
				if (chunk.length < length) {
					complete = false;
					break;
				}
				line(in);
				if (length == 0) {
					break;
				}
			}
		}
		else if (headers.containsKey("content-length")) {
			int length = Integer.parseInt(headers.get("content-length"));
			byte[] content = in.readNBytes(length);
			body.write(content);
			complete = content.length == length;
		}
		else if (response) {
			body.write(in.readAllBytes());
		}
		return new Message(start, headers, body.toByteArray(), complete);
	}

	static byte[] response(int status, Map<String, String> headers, byte[] body) {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason(status) + "\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		message.writeBytes(body);
		return message.toByteArray();
	}

	private static String reason(int status) {
		return switch (status) {
			case 200 -> "OK";
			case 202 -> "Accepted";
			case 404 -> "Not Found";
			case 410 -> "Gone";
			case 412 -> "Precondition Failed";
			case 421 -> "Misdirected Request";
			case 503 -> "Service Unavailable";
			default -> "Status";
		};
	}

}
