package io.balsamlane.router.intake;

import io.netty.buffer.ByteBuf;

/**
 * Counts the bytes and lines of a request head before they are decoded. It only counts;
 * the decoder decides where the head ends.
 */
final class RequestHeadCounter {

	private int emptyBytes;

	private int firstLineBytes;

	private int headerBytes;

	private int lines;

	private int currentLineBytes;

	private boolean started;

	/**
	 * Count further bytes, up to the end of the head.
	 * @param in the bytes received
	 * @param from index of the first byte to count
	 * @return number of bytes counted
	 */
	int count(ByteBuf in, int from) {
		for (int index = from; index < in.writerIndex(); index++) {
			if (countByte(in.getByte(index))) {
				return index + 1 - from;
			}
		}
		return Math.max(0, in.writerIndex() - from);
	}

	private boolean countByte(byte next) {
		boolean lineEnd = next == '\n';
		boolean visible = !lineEnd && next != '\r';
		if (!this.started && !visible) {
			this.emptyBytes++;
			return false;
		}
		this.started = true;
		if (this.lines == 0) {
			this.firstLineBytes++;
		}
		else {
			this.headerBytes++;
		}
		if (lineEnd) {
			boolean headEnd = this.currentLineBytes == 0;
			this.lines++;
			this.currentLineBytes = 0;
			return headEnd;
		}
		if (visible) {
			this.currentLineBytes++;
		}
		return false;
	}

	/**
	 * Return the size of the empty lines before the request line.
	 * @return the number of bytes
	 */
	int emptyBytes() {
		return this.emptyBytes;
	}

	/**
	 * Return the size by which the head is limited: that of the request line or of the
	 * header lines, whichever is larger.
	 * @return the number of bytes
	 */
	int limitedBytes() {
		return Math.max(this.firstLineBytes, this.headerBytes);
	}

	int totalBytes() {
		return this.emptyBytes + this.firstLineBytes + this.headerBytes;
	}

	int lines() {
		return this.lines;
	}

}
