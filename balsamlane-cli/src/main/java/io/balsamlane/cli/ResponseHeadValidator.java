package io.balsamlane.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;

/**
 * Checks the status line and the framing of the first response on a connection before the
 * HTTP codec reads it, which accepts some invalid ones. An invalid response ends the
 * connection. Routers send no informational responses, so these are invalid too.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112#section-4">RFC 9112, sections 4
 * and 6</a>
 */
final class ResponseHeadValidator extends ByteToMessageDecoder {

	private static final int MAX_HEAD_BYTES = 16_384;

	private static final String HEAD_END = "\r\n\r\n";

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [2-9][0-9][0-9]( .*)?");

	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) {
		int length = Math.min(bytes.readableBytes(), MAX_HEAD_BYTES);
		String text = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
		int end = text.indexOf(HEAD_END);
		if (end >= 0 && isValid(text.substring(0, end).split("\r\n", -1))) {
			// Passes on the bytes.
			context.pipeline().remove(this);
		}
		else if (end >= 0 || length == MAX_HEAD_BYTES) {
			throw new CorruptedFrameException("the status line or the framing of the response is invalid");
		}
	}

	private static boolean isValid(String[] lines) {
		List<String> lengths = values(lines, "content-length");
		List<String> encodings = values(lines, "transfer-encoding");
		boolean validEncoding = encodings.isEmpty()
				|| (encodings.equals(List.of("chunked")) && lengths.isEmpty() && lines[0].startsWith("HTTP/1.1"));
		return STATUS_LINE.matcher(lines[0]).matches() && validEncoding && lengths.size() <= 1
				&& lengths.stream().allMatch((value) -> LENGTH.matcher(value).matches());
	}

	private static List<String> values(String[] lines, String name) {
		return List.of(lines)
			.stream()
			.map((line) -> line.toLowerCase(Locale.ROOT))
			.filter((line) -> line.startsWith(name) && line.substring(name.length()).strip().startsWith(":"))
			.map((line) -> line.substring(line.indexOf(':') + 1).strip())
			.toList();
	}

}
