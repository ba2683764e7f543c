import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
final class Http {

	private Http() {
	}

	/** A message: its first line, its headers by name in lower case, and its body. */
	record Message(String line, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String path() {
			return this.line.split(" ")[1];
		}

		String method() {
			return this.line.split(" ")[0];
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Reads one message; returns null if the connection ends before its first byte. */
	static Message read(InputStream in) throws IOException {
		String line = readLine(in, true);
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String header = readLine(in, false); !header.isEmpty(); header = readLine(in, false)) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
				body.write(exactly(in, size));
				readLine(in, false);
			}
			readLine(in, false);
		}
		else if (headers.containsKey("content-length")) {
			body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
		}
		return new Message(line, headers, body.toByteArray());
	}

	private static int chunkSize(InputStream in) throws IOException {
		return Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
	}

	private static byte[] exactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("the connection ended within a body");
		}
		return bytes;
	}

	private static String readLine(InputStream in, boolean first) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (first && line.size() == 0) {
					return null;
				}
				throw new EOFException("the connection ended within a head");
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

}
