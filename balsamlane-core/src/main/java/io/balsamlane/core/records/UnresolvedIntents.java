package io.balsamlane.core.records;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.ByteString;
import io.balsamlane.schema.CallRecord;

/**
 * Intents whose write has no answer and may still take effect. They are resolved when the
 * register has another version.
 */
final class UnresolvedIntents {

	private final Map<ByteString, Set<Long>> noncesByKey = new HashMap<>();

	void add(CallRecord intent) {
		this.noncesByKey.computeIfAbsent(intent.getKeyHash(), (key) -> new HashSet<>()).add(intent.getDispatchNonce());
	}

	boolean contains(CallRecord intent) {
		return nonces(intent).contains(intent.getDispatchNonce());
	}

	boolean containsOther(CallRecord intent) {
		return nonces(intent).stream().anyMatch((nonce) -> nonce != intent.getDispatchNonce());
	}

	private Set<Long> nonces(CallRecord intent) {
		return this.noncesByKey.getOrDefault(intent.getKeyHash(), Set.of());
	}

	void clear() {
		this.noncesByKey.clear();
	}

}
