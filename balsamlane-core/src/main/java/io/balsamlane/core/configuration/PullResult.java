package io.balsamlane.core.configuration;

import java.util.Objects;

import io.balsamlane.schema.Configuration;

/**
 * Outcome of pulling the configuration from a peer.
 */
public sealed interface PullResult {

	/**
	 * The peer sent its configuration.
	 *
	 * @param configuration the configuration
	 */
	record Received(Configuration configuration) implements PullResult {

		public Received {
			Objects.requireNonNull(configuration, "configuration");
		}

	}

	/**
	 * The peer has nothing newer.
	 */
	record Current() implements PullResult {
	}

	/**
	 * The peer sent changes that do not lead to its document; the next pull has to fetch
	 * the whole document.
	 */
	record DigestMismatch() implements PullResult {
	}

	/**
	 * The peer did not answer.
	 *
	 * @param reason the cause
	 */
	record Failed(String reason) implements PullResult {
	}

}
