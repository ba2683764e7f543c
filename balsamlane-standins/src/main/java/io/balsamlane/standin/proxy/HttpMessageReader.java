package io.balsamlane.standin.proxy;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads HTTP/1.1 messages from a connection without decoding them.
 */
final class HttpMessageReader {

	private static final Pattern CONTENT_LENGTH = Pattern.compile("\r\ncontent-length: *(\\d+)");

	private static final Pattern CHUNKED = Pattern.compile("\r\ntransfer-encoding: *chunked");

	private final InputStream input;

	HttpMessageReader(InputStream input) {
		this.input = input;
	}

	/**
	 * Read the head of a message.
	 * @return the head with the empty line that ends it, empty at the end of the stream
	 * @throws IOException if the connection fails
	 */
	byte[] readHead() throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		int empty = "\r\n".length();
		while (readLine(head) > empty) {
			// The next line.
		}
		return head.toByteArray();
	}

	private int readLine(ByteArrayOutputStream target) throws IOException {
		int length = 0;
		int value = -1;
		while (value != '\n') {
			value = this.input.read();
			if (value < 0) {
				if (target.size() > 0) {
					throw new EOFException("the connection ended within a message");
				}
				return 0;
			}
			target.write(value);
			length++;
		}
		return length;
	}

	/**
	 * Read the body of a message piece by piece.
	 * @param head head of the message
	 * @param pieces receives the pieces, in their transfer coding
	 * @throws IOException if the connection fails
	 */
	void readBody(byte[] head, Pieces pieces) throws IOException {
		String headers = new String(head, StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
		Matcher length = CONTENT_LENGTH.matcher(headers);
		if (CHUNKED.matcher(headers).find()) {
			boolean last = false;
			while (!last) {
				ByteArrayOutputStream chunk = new ByteArrayOutputStream();
				readLine(chunk);
				int size = Integer.parseInt(chunk.toString(StandardCharsets.ISO_8859_1).trim(), 16);
				last = size == 0;
				chunk.write(readBytes(size));
				readLine(chunk);
				pieces.accept(chunk.toByteArray());
			}
		}
		else if (length.find()) {
			pieces.accept(readBytes(Integer.parseInt(length.group(1))));
		}
	}

	private byte[] readBytes(int length) throws IOException {
		byte[] bytes = this.input.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the connection ended within a message");
		}
		return bytes;
	}

	/**
	 * Receives the pieces of a body.
	 */
	interface Pieces {

		void accept(byte[] piece) throws IOException;

	}

}
