package io.balsamlane.core.configuration;

import java.util.Objects;

import io.balsamlane.schema.Configuration;

/**
 * Outcome of pulling the configuration from a peer.
 */
public sealed interface PullResult {

	/**
	 * The peer returned its configuration.
	 *
	 * @param configuration the configuration
	 */
	record Received(Configuration configuration) implements PullResult {

		public Received {
			Objects.requireNonNull(configuration, "configuration");
		}

	}

	/**
	 * The peer has no newer configuration.
	 */
	record Current() implements PullResult {
	}

	/**
	 * The changes that the peer returned do not reproduce its document, so the next pull
	 * must fetch the whole document.
	 */
	record DigestMismatch() implements PullResult {
	}

	/**
	 * The peer did not respond.
	 *
	 * @param reason the cause
	 */
	record Failed(String reason) implements PullResult {
	}

}
