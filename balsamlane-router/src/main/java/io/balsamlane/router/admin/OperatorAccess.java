package io.balsamlane.router.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.stream.Stream;

import io.balsamlane.schema.PeerSettings;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Checks the shared key of operators. During a change of keys two are valid.
 */
final class OperatorAccess {

	private static final String BEARER_PREFIX = "Bearer ";

	private final List<byte[]> keyHashes;

	private OperatorAccess(List<byte[]> keyHashes) {
		this.keyHashes = keyHashes;
	}

	static OperatorAccess of(PeerSettings settings) {
		return new OperatorAccess(Stream.of(settings.getKey(), settings.getPreviousKey())
			.filter((key) -> !key.isEmpty())
			.map(OperatorAccess::hash)
			.toList());
	}

	/**
	 * Tells whether requests have to carry a key.
	 * @return false if no key is set
	 */
	boolean keyed() {
		return !this.keyHashes.isEmpty();
	}

	/**
	 * Checks a request.
	 * @param authorization value of the header, null if it has none
	 * @return true if the request may be answered
	 */
	boolean allows(String authorization) {
		if (!keyed()) {
			return true;
		}
		String sent = (authorization != null && authorization.startsWith(BEARER_PREFIX))
				? authorization.substring(BEARER_PREFIX.length()).trim() : "";
		// Hashes of equal length are compared in constant time, and every key is
		// compared, so that the time tells nothing about the keys.
		byte[] sentHash = hash(sent);
		boolean allowed = false;
		for (byte[] keyHash : this.keyHashes) {
			allowed |= MessageDigest.isEqual(keyHash, sentHash);
		}
		return allowed;
	}

	private static byte[] hash(String key) {
		return DigestUtils.sha256(key.getBytes(StandardCharsets.UTF_8));
	}

}
