package io.balsamlane.core.membership;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes rendezvous hashing scores: the member with the highest score owns a key.
 * Source: Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
 */
final class RendezvousHash {

	private RendezvousHash() {
	}

	static long score(String member, String key) {
		byte[] bytes = (member + '\n' + key).getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes)[0];
	}

}
