package io.balsamlane.router.http;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;

/**
 * Framing of the responses of backend servers.
 */
public final class ResponseFraming {

	private ResponseFraming() {
	}

	/**
	 * Return whether the body of a response is delimited by the end of its connection
	 * only. An error of the connection shows that it is truncated; other connections may
	 * already carry the next request when their errors are reported.
	 * @param response the response
	 * @return true if the response has neither a length nor chunks
	 */
	public static boolean endsWithConnection(HttpClientResponse response) {
		return !response.headers().contains(HttpHeaders.CONTENT_LENGTH)
				&& !response.headers().contains(HttpHeaders.TRANSFER_ENCODING);
	}

}
