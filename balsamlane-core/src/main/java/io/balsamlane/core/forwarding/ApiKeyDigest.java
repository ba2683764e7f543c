package io.balsamlane.core.forwarding;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of an API key. Keys are compared by their digests, so that neither the
 * time of a comparison nor a dump of the heap reveals a configured key.
 *
 * @param hex the digest in lower-case hexadecimal
 */
record ApiKeyDigest(String hex) {

	/**
	 * Create the digest of a key as configured. Keys are sent in UTF-8.
	 * @param key the key
	 * @return the digest
	 */
	static ApiKeyDigest ofConfigured(String key) {
		return of(key.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Create the digest of a key as received in a header, in which each character stands
	 * for one byte.
	 * @param key the key
	 * @return the digest
	 */
	static ApiKeyDigest ofReceived(String key) {
		return of(key.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static ApiKeyDigest of(byte[] key) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(key);
			return new ApiKeyDigest(HexFormat.of().formatHex(digest));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is required of every Java platform", ex);
		}
	}

	@Override
	public String toString() {
		return "digest of an API key";
	}

}
