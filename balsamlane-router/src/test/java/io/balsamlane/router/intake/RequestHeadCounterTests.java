package io.balsamlane.router.intake;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestHeadCounter}: guards against heads that are counted too small,
 * and against bodies that are counted as heads.
 */
class RequestHeadCounterTests {

	private static final String HEAD = "\r\nGET / HTTP/1.1\r\na:\r\nbc\n\r\n";

	private final RequestHeadCounter counter = new RequestHeadCounter();

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	@Test
	void countsUpToEndOfHead() {
		assertThat(this.counter.count(bytes(HEAD + "body\n"), 0)).isEqualTo(HEAD.length());
		assertThat(this.counter.emptyBytes()).isEqualTo(2);
		assertThat(this.counter.totalBytes()).isEqualTo(HEAD.length());
		assertThat(this.counter.lines()).isEqualTo(4);
		assertThat(this.counter.limitedBytes()).isEqualTo("GET / HTTP/1.1\r\n".length());
	}

	@Test
	void countsPiecesOnce() {
		ByteBuf in = Unpooled.buffer();
		int counted = 0;
		for (byte next : HEAD.getBytes(StandardCharsets.ISO_8859_1)) {
			in.writeByte(next);
			counted += this.counter.count(in, counted);
		}
		assertThat(this.counter.totalBytes()).isEqualTo(HEAD.length());
		assertThat(this.counter.lines()).isEqualTo(4);
	}

	@Test
	void countsEmptyLinesWithoutEnd() {
		this.counter.count(bytes("\r\n".repeat(1000)), 0);
		assertThat(this.counter.emptyBytes()).isEqualTo(2000);
		assertThat(this.counter.lines()).isZero();
	}

}
