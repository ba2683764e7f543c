package io.balsamlane.router.forwarding;

import java.util.List;

import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.core.model.PromptPart;

/**
 * Properties of a request that other requests may share, by which requests that crash
 * servers are recognised.
 *
 * @param fingerprint fingerprint that is equal for repetitions of the request
 * @param promptParts parts of the prompt that other requests may share
 */
record RequestTraits(long fingerprint, List<PromptPart> promptParts) {

	RequestTraits {
		promptParts = List.copyOf(promptParts);
	}

	static RequestTraits of(long fingerprint, RequestMetadata metadata) {
		return new RequestTraits(fingerprint, metadata.sharedPromptParts());
	}

}
