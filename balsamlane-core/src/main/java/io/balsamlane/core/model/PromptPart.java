package io.balsamlane.core.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Id of one part of a prompt. Prompts that contain the same part carry the same id.
 *
 * @param value the id
 */
public record PromptPart(long value) {

	private static final int HEX = 16;

	/**
	 * Create an id.
	 * @param value the id
	 * @return the id
	 */
	public static PromptPart of(long value) {
		return new PromptPart(value);
	}

	/**
	 * Create an id from the name of a part: its value if the name is a hexadecimal number
	 * of at most 64 bits, otherwise a hash of the name.
	 * @param name the name
	 * @return the id
	 */
	public static PromptPart named(String name) {
		try {
			return of(Long.parseUnsignedLong(name, HEX));
		}
		catch (NumberFormatException ex) {
			return of(ByteBuffer.wrap(sha256(name)).getLong());
		}
	}

	private static byte[] sha256(String text) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is required of every Java platform", ex);
		}
	}

	@Override
	public String toString() {
		return Long.toHexString(this.value);
	}

}
