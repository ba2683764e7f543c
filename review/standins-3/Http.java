import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a connection. */
final class Http {

	private Http() {
	}

	/** Head of a message: its first line, and its headers by name in lower case. */
	record Head(String line, Map<String, String> headers) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String method() {
			return this.line.split(" ")[0];
		}

		String target() {
			return this.line.split(" ")[1];
		}

		int length() {
			String length = header("content-length");
			return (length != null) ? Integer.parseInt(length) : 0;
		}

	}

	/** Read a head; null if the connection ends before it begins. */
	static Head readHead(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
			if (line == null) {
				throw new EOFException("the connection ended within a head");
			}
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Head(first, headers);
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
		if (line.size() > 0) {
			throw new EOFException("the connection ended within a line");
		}
		return null;
	}

	/** Read the whole body of a response or request with a length or in chunks. */
	static byte[] readBody(InputStream in, Head head) throws IOException {
		if (!"chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
			byte[] body = in.readNBytes(head.length());
			if (body.length < head.length()) {
				throw new EOFException("the connection ended within a body");
			}
			return body;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String size = readLine(in);
			if (size == null) {
				throw new EOFException("the connection ended within a body");
			}
			int length = Integer.parseInt(size.trim(), 16);
			byte[] chunk = in.readNBytes(length);
			if (chunk.length < length || readLine(in) == null) {
				throw new EOFException("the connection ended within a chunk");
			}
			if (length == 0) {
				return body.toByteArray();
			}
			body.write(chunk);
		}
	}

}
