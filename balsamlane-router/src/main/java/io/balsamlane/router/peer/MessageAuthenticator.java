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
 * Signs messages with HMAC-SHA-256 and verifies them with the shared key and the one
 * before it. Not safe for use by several threads.
 */
final class MessageAuthenticator {

	private static final String ALGORITHM = "HmacSHA256";

	/**
	 * Key of nodes without a shared key, which listen on loopback only: it detects damage
	 * and keeps them apart from nodes with a key.
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
			throw new IllegalStateException("The platform lacks " + ALGORITHM, ex);
		}
	}

	// Returns the content followed by the first bytes of its code.
	byte[] sign(byte[] content, int codeBytes) {
		byte[] signed = Arrays.copyOf(content, content.length + codeBytes);
		System.arraycopy(this.macs.get(0).doFinal(content), 0, signed, content.length, codeBytes);
		return signed;
	}

	boolean verify(byte[] signed, int codeBytes) {
		int length = signed.length - codeBytes;
		if (length < 0) {
			return false;
		}
		byte[] code = Arrays.copyOfRange(signed, length, signed.length);
		boolean valid = false;
		for (Mac mac : this.macs) {
			mac.update(signed, 0, length);
			valid |= MessageDigest.isEqual(code, Arrays.copyOf(mac.doFinal(), codeBytes));
		}
		return valid;
	}

}
