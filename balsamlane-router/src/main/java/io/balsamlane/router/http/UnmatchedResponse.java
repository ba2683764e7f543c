package io.balsamlane.router.http;

import java.util.Optional;

/**
 * Response on a connection that is invalid or cannot be attributed to the request in
 * progress.
 *
 * @param server address of the server
 * @param reason why the response is discarded
 * @param status status of the response, 999 if its status line is invalid
 * @param expectedId id of the request in progress, empty if there is none
 * @param receivedId id that the response carries
 * @param requests number of requests that the connection has carried
 */
public record UnmatchedResponse(String server, Reason reason, int status, Optional<String> expectedId,
		Optional<String> receivedId, int requests) {

	/**
	 * Reason why a response is discarded.
	 */
	public enum Reason {

		/** The response carries the id of another request. */
		OTHER_REQUEST,

		/**
		 * The response carries no id, and the connection has carried earlier requests to
		 * which it may be a second response.
		 */
		UNIDENTIFIED,

		/** The response, or a part of it, arrived while no request was in progress. */
		UNSOLICITED,

		/** The head contains the status line of another response. */
		MERGED,

		/** The status line or the framing is invalid. */
		INVALID

	}

}
