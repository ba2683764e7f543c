package io.balsamlane.router.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.stream.Stream;

import io.balsamlane.schema.PeerSettings;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Authenticates operator requests by a shared key. The previous key is accepted as well,
 * so that keys can be rotated without downtime.
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
	 * Return whether requests must carry a key.
	 * @return {@code false} if no key is configured
	 */
	boolean requiresKey() {
		return !this.keyHashes.isEmpty();
	}

	/**
	 * Return whether a request is authorized.
	 * @param authorization the value of the {@code Authorization} header, or {@code null}
	 * if it is missing
	 * @return {@code true} if the request carries a valid key or no key is required
	 */
	boolean allows(String authorization) {
		if (!requiresKey()) {
			return true;
		}
		String sent = (authorization != null && authorization.startsWith(BEARER_PREFIX))
				? authorization.substring(BEARER_PREFIX.length()).trim() : "";
		// Compares hashes of equal length in constant time, and compares all keys, to
		// prevent timing attacks.
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
