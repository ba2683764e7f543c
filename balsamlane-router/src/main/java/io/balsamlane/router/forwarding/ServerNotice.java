package io.balsamlane.router.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * What a backend server announces about itself in the headers of a response.
 *
 * @param leaving whether it is leaving and wants no further requests
 * @param retryAfterMillis time for which it accepts no requests of this router, in
 * milliseconds, 0 if it accepts them
 * @param ignored the reason why a part of the announcement is invalid and has no effect
 */
public record ServerNotice(boolean leaving, long retryAfterMillis, Optional<String> ignored) {

	public ServerNotice {
		Objects.requireNonNull(ignored, "ignored");
	}

	/**
	 * Return whether the response announces anything.
	 * @return false for ordinary responses
	 */
	boolean present() {
		return this.leaving || this.retryAfterMillis > 0 || this.ignored.isPresent();
	}

}
