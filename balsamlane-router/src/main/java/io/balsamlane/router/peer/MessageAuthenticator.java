package io.balsamlane.router.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticator that signs messages with HMAC-SHA-256 and verifies them with the shared
 * key or the previous one. Not thread-safe.
 */
final class MessageAuthenticator {

	private static final String ALGORITHM = "HmacSHA256";

	/**
	 * Key of nodes without a shared key, which listen on the loopback address only. It
	 * detects corrupted messages and separates these nodes from nodes that have a key.
	 */
	private static final String NO_KEY = "no shared key";

	private final List<Mac> macs;

	private MessageAuthenticator(List<Mac> macs) {
		this.macs = macs;
	}

	static MessageAuthenticator create(String key, String previousKey) {
		return new MessageAuthenticator(Stream.of(key.isEmpty() ? NO_KEY : key, previousKey)
			.filter((value) -> !value.isEmpty())
			.map(MessageAuthenticator::mac)
			.toList());
	}

	private static Mac mac(String key) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("The Java runtime does not provide " + ALGORITHM, ex);
		}
	}

	// Returns the content followed by its message authentication code (MAC), truncated to
	// the given length.
	byte[] sign(byte[] content, int macBytes) {
		byte[] signed = Arrays.copyOf(content, content.length + macBytes);
		System.arraycopy(this.macs.get(0).doFinal(content), 0, signed, content.length, macBytes);
		return signed;
	}

	boolean verify(byte[] signed, int macBytes) {
		int length = signed.length - macBytes;
		if (length < 0) {
			return false;
		}
		byte[] received = Arrays.copyOfRange(signed, length, signed.length);
		boolean valid = false;
		for (Mac mac : this.macs) {
			mac.update(signed, 0, length);
			valid |= MessageDigest.isEqual(received, Arrays.copyOf(mac.doFinal(), macBytes));
		}
		return valid;
	}

}
